package figdeck.model.serving

/** What requests that lose their upstreams may have in common: a part of their prompts, or all of the request. */
public sealed interface CrashSuspect {
    /** Identifies it among the suspects of its kind. */
    public val id: String
}

/** The id of a part of a prompt. Prompts that begin alike have their first parts in common. */
@JvmInline
public value class PromptPart(override val id: String) : CrashSuspect {
    override fun toString(): String = id
}

/** A hash of everything that a caller sends again when it repeats a request. */
@JvmInline
public value class RequestFingerprint(override val id: String) : CrashSuspect {
    override fun toString(): String = "request $id"
}
