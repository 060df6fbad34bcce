package figdeck.command.serving

/** A body of at most this size, in bytes, is small: most online requests are far smaller. */
public const val SMALL_BODY_BYTES: Long = 64L * 1024

/** Most bodies that come in chunks have at most this size, in bytes. */
private const val FIRST_CHUNKS_BYTES = 4L * 1024

private const val SMALL_PARTS = 5
private const val LARGE_PARTS = 10
private const val SUBMISSION_PARTS = 15
private const val PARTS = 100

/** While a body is read, its buffer doubles and is then copied. */
private const val READ_FACTOR = 3L

/** The body, its text, the decoded items and the rows that are written to the store. */
private const val SUBMIT_FACTOR = 8L

/**
 * The memory that request bodies may take on one host, in bytes.
 *
 * @property small for bodies of at most [SMALL_BODY_BYTES], whatever larger ones take.
 * @property large for larger ones that are forwarded, and for small ones that find no room in [small].
 * @property submissions the same for those that are stored as batch jobs, whatever forwarded ones take.
 */
public data class BodyMemoryLimits(
    public val small: Long,
    public val large: Long,
    public val submissions: Long,
) {
    /** Returns the limit of [share]. */
    public fun of(share: BodyShare): Long = when (share) {
        BodyShare.SMALL -> small
        BodyShare.LARGE -> large
        BodyShare.SUBMISSIONS -> submissions
    }
}

/** Returns the limits for a heap of [heapBytes]: beside the items of batch jobs, which may take half of it. */
public fun bodyMemoryLimits(heapBytes: Long): BodyMemoryLimits = BodyMemoryLimits(
    small = heapBytes * SMALL_PARTS / PARTS,
    large = heapBytes * LARGE_PARTS / PARTS,
    submissions = heapBytes * SUBMISSION_PARTS / PARTS,
)

/** What is done with a body; its memory is [factor] times its size. */
public enum class BodyUse(public val factor: Long) {
    /** It is being read, to be forwarded. */
    READ(READ_FACTOR),

    /** It was read and is being forwarded. */
    FORWARD(1),

    /** It is read, decoded and stored as a batch job. */
    SUBMIT(SUBMIT_FACTOR),
}

/** A body of [bytes] for which memory is needed. */
public data class BodyDemand(
    public val bytes: Long,
    public val use: BodyUse,
) {
    /** The memory that it takes, in bytes. */
    public val memory: Long get() = bytes * use.factor

    /** The share that it takes if it finds no room among small bodies. */
    public val mainShare: BodyShare get() = if (use == BodyUse.SUBMIT) BodyShare.SUBMISSIONS else BodyShare.LARGE
}

/** The part of the memory for bodies that a body takes. */
public enum class BodyShare { SMALL, LARGE, SUBMISSIONS }

/** The memory that bodies take now, in bytes. */
public data class BodyMemoryUse(
    public val small: Long = 0,
    public val large: Long = 0,
    public val submissions: Long = 0,
) {
    /** Returns the bytes that are taken from [share]. */
    public fun of(share: BodyShare): Long = when (share) {
        BodyShare.SMALL -> small
        BodyShare.LARGE -> large
        BodyShare.SUBMISSIONS -> submissions
    }

    /** Returns the use after [bytes] more are taken from [share]. */
    public fun plus(share: BodyShare, bytes: Long): BodyMemoryUse = when (share) {
        BodyShare.SMALL -> copy(small = small + bytes)
        BodyShare.LARGE -> copy(large = large + bytes)
        BodyShare.SUBMISSIONS -> copy(submissions = submissions + bytes)
    }
}

/** Returns the share that has room for [demand] beside [used], or null if none has. */
public fun shareFor(demand: BodyDemand, used: BodyMemoryUse, limits: BodyMemoryLimits): BodyShare? {
    val main = demand.mainShare
    return when {
        demand.bytes <= SMALL_BODY_BYTES && used.small + demand.memory <= limits.small -> BodyShare.SMALL
        // A body is admitted alone even if it is larger than the limit: it would never be admitted otherwise.
        fitsInMemory(used.of(main), demand.memory, limits.of(main)) -> main
        else -> null
    }
}

/**
 * The size to reserve memory for before a body is read.
 *
 * @param declared the size that its head declares; null if it comes in chunks, of which [grownBodyBytes] tells more.
 */
public fun firstBodyBytes(declared: Long?, maxBytes: Long): Long = minOf(declared ?: FIRST_CHUNKS_BYTES, maxBytes)

/**
 * The size to reserve memory for when [size] bytes of a body in chunks have come. It doubles, as the buffer does: a
 * body holds no memory for what may never come.
 */
public fun grownBodyBytes(size: Long, maxBytes: Long): Long = minOf((size - 1).takeHighestOneBit() * 2, maxBytes)
