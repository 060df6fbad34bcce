package figdeck.model.serving

/** A version of the weights that an engine has loaded, as engines and callers name it. */
@JvmInline
public value class WeightsVersion(public val name: String) {
    override fun toString(): String = name
}
