package figdeck.command.dispatch

import figdeck.model.serving.tokens

/** The tokens that are charged to the team of this request when it gets a slot. */
internal val DispatchRequest.chargedTokens: Int get() = expected?.tokens?.coerceAtLeast(1) ?: cost

/**
 * The tokens that the use of a slot by [request] has cost. With an expectation this is what was seen. If nothing was
 * seen, the charge stays, unless the holder returns the slot unused, which it reports as a cost of 0.
 */
internal fun Release.actualTokens(request: DispatchRequest): Int {
    val expected = request.expected
    return when {
        expected == null || cost == 0 -> cost
        usage == null -> request.chargedTokens
        else -> expected.promptTokens + usage.outputTokens
    }
}
