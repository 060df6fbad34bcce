package figdeck.query.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.WeightsVersion

/** Why an upstream rejected a request as misdirected. */
public enum class MisdirectionCause {
    /** Another upstream uses the address. */
    REPLACED,

    /** The upstream has other weights than the request asks for. */
    OTHER_WEIGHTS,

    /** The upstream itself rejected it for another reason. */
    OTHER,
}

/**
 * A request that an upstream rejected as misdirected.
 *
 * @property expected the upstream to which it was sent.
 * @property expectedWeights the weights that it asks for; null for any.
 * @property answeredBy the name of the upstream that rejected it, which may be no valid id; null if the answer has
 * none.
 * @property weights the weights of the upstream that rejected it; null if the answer doesn't say.
 */
public data class Misdirection(
    public val expected: UpstreamId,
    public val expectedWeights: WeightsVersion?,
    public val answeredBy: String?,
    public val weights: WeightsVersion?,
)

/**
 * The cause as far as the answer proves it. Where it proves nothing, the upstream isn't taken for replaced if the
 * request asks for weights: the next request that doesn't ask for any tells.
 */
public val Misdirection.cause: MisdirectionCause
    get() = when {
        answeredBy != null && answeredBy != expected.value -> MisdirectionCause.REPLACED
        expectedWeights == null -> if (answeredBy == null) MisdirectionCause.REPLACED else MisdirectionCause.OTHER
        // The weights are as requested, so they are not the reason.
        weights == expectedWeights -> if (answeredBy == null) MisdirectionCause.REPLACED else MisdirectionCause.OTHER
        else -> MisdirectionCause.OTHER_WEIGHTS
    }
