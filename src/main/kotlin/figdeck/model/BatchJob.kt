package figdeck.model

/** How far a batch job has come by its own row. */
public enum class StoredJobState {
    /** It is durable and its items run. */
    ACCEPTED,

    /** It was cancelled: nothing more of it starts, and finished items stay readable. */
    CANCELLED,

    /** Every item has its result. */
    COMPLETED,

    /** Its upload never ended; no caller was told of it. */
    ABANDONED,
}

/**
 * A batch job as its row tells it. The row changes only with [storedState], so that its version fences the
 * job's segments.
 *
 * @property digest the SHA-256 of the uploaded body in hexadecimal.
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

/** The sign that something of a job stands in the platform's services, written before anything else of it. */
public data class RetainedJob(
    public val id: BatchId,
    public val team: TeamId,
    public val writtenAtMillis: Long,
)
