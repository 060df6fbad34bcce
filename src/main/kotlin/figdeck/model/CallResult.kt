package figdeck.model

/** The result of a call to another system within its deadline. */
public sealed interface CallResult<out T> {
    /** The call took effect and returned [value]. */
    public data class Done<T>(public val value: T) : CallResult<T>

    /** The call took no effect. */
    public data class NotDone(public val reason: String) : CallResult<Nothing>

    /** The call took no effect, and repeating it can't change that: it is too large or not valid. */
    public data class Refused(public val reason: String) : CallResult<Nothing>

    /** The call may have taken effect: its reply was lost or missed the deadline. */
    public data class Unknown(public val reason: String) : CallResult<Nothing>
}

/** Returns the value of a completed call, or null. */
public fun <T : Any> CallResult<T>.valueOrNull(): T? = when (this) {
    is CallResult.Done -> value
    is CallResult.NotDone -> null
    is CallResult.Refused -> null
    is CallResult.Unknown -> null
}

/** Transforms the value of a completed call. */
public inline fun <T, R> CallResult<T>.map(transform: (T) -> R): CallResult<R> = when (this) {
    is CallResult.Done -> CallResult.Done(transform(value))
    is CallResult.NotDone -> this
    is CallResult.Refused -> this
    is CallResult.Unknown -> this
}
