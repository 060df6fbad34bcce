package figdeck.model

/** The fencing number of an ownership: rises with each change of owner, and older numbers are refused. */
@JvmInline
public value class Epoch(public val value: Long) : Comparable<Epoch> {
    init {
        require(value >= 0) { "epoch $value is negative: epochs start at 0 and rise by one" }
    }

    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** The epoch of the next owner. */
    public fun next(): Epoch = Epoch(value + 1)
}
