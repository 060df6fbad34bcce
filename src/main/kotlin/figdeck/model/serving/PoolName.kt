package figdeck.model.serving

import figdeck.model.MAX_ID_LENGTH
import figdeck.model.requireId

/** Identifies a pool: a set of upstreams that serve the same requests. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class PoolName(public val value: String) {
    init {
        requireId("pool", value)
    }

    override fun toString(): String = value
}
