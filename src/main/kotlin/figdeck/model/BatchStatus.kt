package figdeck.model

/** The state of a batch job as reported to callers. */
public enum class JobState {
    /** Items are running or waiting. */
    RUNNING,

    /** Every item has its result. */
    COMPLETED,

    /** The job was cancelled before every item had its result. */
    CANCELLED,
}

/** The progress of a batch job, with the counts of [finished] and [failed] items summed over its segments. */
public data class BatchStatus(
    public val job: BatchJob,
    public val state: JobState,
    public val finished: Int,
    public val failed: Int,
)
