package figdeck.model.serving

import figdeck.model.MAX_ID_LENGTH
import figdeck.model.requireId

/** Identifies a batch job of the front end. Chosen by the caller. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class JobId(public val value: String) {
    init {
        requireId("job", value)
    }

    override fun toString(): String = value
}
