package figdeck.model

/** The version with which a check requires that a row does not exist. */
public const val ABSENT: Long = 0

/** A condition of a transaction: the row [key] has [version], or does not exist if [version] is [ABSENT]. */
public data class RowCheck(
    public val key: String,
    public val version: Long,
)

/** A write of a transaction: sets [key] to [value], or deletes it if [value] is null. */
public data class RowWrite(
    public val key: String,
    public val value: String?,
)

/** Writes that are applied atomically, and only if every check holds. */
public data class TableTransaction(
    public val checks: List<RowCheck>,
    public val writes: List<RowWrite>,
)

/** The reply of the table to a transaction that it has committed or rejected. */
public sealed interface CommitReply {
    /** All writes took effect at table version [version], which is now the version of each written row. */
    public data class Committed(public val version: Long) : CommitReply

    /** Nothing was written: the rows under [keys] did not have the versions that the checks require. */
    public data class Conflict(public val keys: List<String>) : CommitReply
}
