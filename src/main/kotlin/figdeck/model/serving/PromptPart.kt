package figdeck.model.serving

/** The id of a part of a prompt. Prompts that begin alike have their first parts in common. */
@JvmInline
public value class PromptPart(public val id: String) {
    override fun toString(): String = id
}
