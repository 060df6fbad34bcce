package figdeck.model.serving

import figdeck.model.HostId
import figdeck.model.TeamId

/** Which incarnation of a daemon runs a job. */
public data class JobOwner(
    public val host: HostId,
    public val incarnation: String,
)

/**
 * What the store keeps of a batch job beside its items and results.
 *
 * @property submittedAtMillis when it was accepted, in milliseconds of the time of day.
 * @property total the number of its items.
 * @property tokens the tokens of the items without a result.
 * @property results the number of results, which stand at the positions below it.
 * @property isEnded whether its caller ended it.
 * @property chunks the number of rows that hold its items.
 * @property writeId differs between two writes, so that a write whose reply was lost can be recognized.
 */
public data class JobRecord(
    public val id: JobId,
    public val team: TeamId,
    public val route: String,
    public val submittedAtMillis: Long,
    public val total: Int,
    public val tokens: Long,
    public val results: Int,
    public val isEnded: Boolean,
    public val owner: JobOwner,
    public val chunks: Int,
    public val writeId: String,
)

/** Whether items are still to be run. */
public val JobRecord.isOpen: Boolean get() = !isEnded && results < total
