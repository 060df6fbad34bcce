package figdeck.model

/** What a caller sees of a job's course. */
public enum class JobState {
    /** Items run or wait. */
    RUNNING,

    /** Every item has its result. */
    COMPLETED,

    /** It was cancelled before every item had its result. */
    CANCELLED,
}

/** A job's course, counted from its segments. */
public data class BatchStatus(
    public val job: BatchJob,
    public val state: JobState,
    public val finished: Int,
    public val failed: Int,
)
