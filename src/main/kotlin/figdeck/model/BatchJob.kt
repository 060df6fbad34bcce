package figdeck.model

/** The state of a batch job as stored in its row. */
public enum class StoredJobState {
    /** The job is durable and its items run. */
    ACCEPTED,

    /** The job was cancelled: no further items start, and finished items stay readable. */
    CANCELLED,

    /** Every item has its result. */
    COMPLETED,

    /** The upload never completed, and no caller was told that the job was accepted. */
    ABANDONED,
}

/**
 * A batch job as stored in its row. The row changes only together with [storedState], so its version can serve as the
 * fence of the job's segments.
 *
 * @property digest the hexadecimal SHA-256 digest of the uploaded body.
 * @property idempotencyRowKey the key of the row that maps a repeated submission to this job.
 * @property segments the number of segments; each is run by one host at a time.
 * @property items the number of items in all segments.
 */
public data class BatchJob(
    public val id: BatchId,
    public val team: TeamId,
    public val digest: String,
    public val idempotencyRowKey: String,
    public val host: HostId,
    public val revision: Revision,
    public val acceptedAtMillis: Long,
    public val segments: Int,
    public val items: Int,
    public val storedState: StoredJobState,
    public val endedAtMillis: Long?,
)

/**
 * Marks that the platform's services may hold data of a job. It is written before any other data of the job, so that
 * expired jobs and incomplete uploads can be found and deleted.
 */
public data class RetainedJob(
    public val id: BatchId,
    public val team: TeamId,
    public val writtenAtMillis: Long,
)
