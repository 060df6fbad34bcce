package figdeck.model

/** One thing wrong with a template or a setting: where it stands ([path]) and what to mend ([message]). */
public data class Fault(
    public val path: String,
    public val message: String,
) {
    override fun toString(): String = "$path: $message"
}
