package figdeck.model.serving

import figdeck.model.TeamId

/**
 * A batch job that one host asks another one to store, because it doesn't reach the store itself.
 *
 * @property planVersion the version of the plan under which the asking host allowed it; null if that is unknown.
 */
public data class RelayedSubmission(
    public val id: JobId,
    public val team: TeamId,
    public val route: String,
    public val planVersion: Long?,
    public val items: List<JobItem>,
)

/** The answer of a host to a [RelayedSubmission]. */
public enum class RelayAnswer {
    /** The job is stored. */
    STORED,

    /** The host has not stored the job and won't. */
    NOT_STORED,

    /** The job may have been stored, or may still be. */
    UNKNOWN,
}
