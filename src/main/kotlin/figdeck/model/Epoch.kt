package figdeck.model

/** The fencing token of an ownership. It rises with each change of owner; writes with an older epoch are refused. */
@JvmInline
public value class Epoch(public val value: Long) : Comparable<Epoch> {
    init {
        require(value >= 0) { "epoch $value is negative: epochs start at 0 and rise by one" }
    }

    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Returns the epoch of the next owner. */
    public fun next(): Epoch = Epoch(value + 1)
}
