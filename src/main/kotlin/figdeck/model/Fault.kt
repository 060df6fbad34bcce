package figdeck.model

/** A validation error in a template or a setting: its location ([path]) and how to fix it ([message]). */
public data class Fault(
    public val path: String,
    public val message: String,
) {
    override fun toString(): String = "$path: $message"
}
