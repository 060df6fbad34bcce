package figdeck.model.serving

import figdeck.model.HostId
import figdeck.model.TeamId

/** The incarnation of a daemon that runs a job. */
public data class JobOwner(
    public val host: HostId,
    public val incarnation: String,
)

/**
 * The stored record of a batch job, without its items and results.
 *
 * @property submittedAtMillis when the job was accepted, as epoch milliseconds.
 * @property total the number of its items.
 * @property tokens the tokens of the items that have no result yet.
 * @property results the number of results; they are stored at the positions below this number.
 * @property isEnded whether the caller ended the job.
 * @property chunks the number of rows in which its items are stored.
 * @property planVersion the version of the plan under which it was accepted; null if an older release wrote the record.
 * @property itemsId names the object that holds its items; null if they are in rows, or if an older release wrote the
 *   record: its objects have the job's id alone.
 * @property writeId unique for each write, so that a write whose reply was lost can be recognized.
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
    public val planVersion: Long? = null,
    public val itemsId: String? = null,
)

/** Whether the job has items that still need to be run. */
public val JobRecord.isOpen: Boolean get() = !isEnded && results < total
