package figdeck.model

/** The version that a check names for a row that must not exist. */
public const val ABSENT: Long = 0

/** A condition of a transaction: [key] stands at [version], or does not exist when that is [ABSENT]. */
public data class RowCheck(
    public val key: String,
    public val version: Long,
)

/** A write of a transaction: [key] takes [value], or is deleted when that is null. */
public data class RowWrite(
    public val key: String,
    public val value: String?,
)

/** Writes that take effect together, and only if every check holds. */
public data class TableTransaction(
    public val checks: List<RowCheck>,
    public val writes: List<RowWrite>,
)

/** What the table says of a transaction that it has decided. */
public sealed interface CommitReply {
    /** All writes took effect at table version [version], which is now the version of each written row. */
    public data class Committed(public val version: Long) : CommitReply

    /** Nothing was written: the rows under [keys] were not at the versions that the checks named. */
    public data class Conflict(public val keys: List<String>) : CommitReply
}
