package figdeck.model

/** What a host knows of a value that it reads from elsewhere. Only [Absent] is a reason to give up work for good. */
public sealed interface Known<out T> {
    /** Nothing that is recent enough has been read. */
    public data object NotRead : Known<Nothing>

    /** The value does not exist at [version] of what was read. */
    public data class Absent(public val version: Long) : Known<Nothing>

    /** The value is [value]. */
    public data class Present<T>(public val value: T) : Known<T>
}
