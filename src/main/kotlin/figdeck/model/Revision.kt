package figdeck.model

/** The number of accepted configuration changes. A higher revision replaces every lower one. */
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    init {
        require(value >= 0) { "revision $value is negative: revisions start at 0 and rise by one" }
    }

    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Returns the revision of the next accepted change. */
    public fun next(): Revision = Revision(value + 1)
}
