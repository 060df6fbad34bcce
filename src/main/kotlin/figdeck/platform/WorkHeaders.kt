package figdeck.platform

import figdeck.model.serving.JobItem
import figdeck.model.serving.WorkFeatures
import io.netty.handler.codec.http.HttpHeaders

internal const val LENGTH_HINT_HEADER = "X-Length-Hint"

/** More tokens than any engine holds. Larger numbers are false, and their sums would overflow. */
private const val MAX_TOKENS = 100_000_000
private const val USAGE_PARTS = 2

/** Returns what the [headers] of a request on [route] tell about its work; null if they name no tokens. */
internal fun workFeaturesOf(route: String, headers: HttpHeaders): WorkFeatures? =
    parseWorkFeatures(route) { headers.get(it) }

/** Returns what the headers of [item] on [route] tell about its work; null if they name no tokens. */
internal fun itemFeaturesOf(route: String, item: JobItem): WorkFeatures? =
    parseWorkFeatures(route) { name -> item.headers.entries.find { it.key.equals(name, ignoreCase = true) }?.value }

private fun parseWorkFeatures(route: String, header: (String) -> String?): WorkFeatures? {
    val usage = header(TOKEN_USAGE_HEADER)?.split(',').orEmpty().mapNotNull { parseTokens(it) }
    return if (usage.size == USAGE_PARTS) {
        val (prompt, maxOutput) = usage
        WorkFeatures(
            route = route,
            promptTokens = prompt,
            sharedTokens = header(PROMPT_PREFIX_HEADER)?.let { sharedTokens(it) }?.coerceAtMost(prompt) ?: 0,
            maxOutputTokens = maxOutput,
            hintedOutputTokens = header(LENGTH_HINT_HEADER)?.let { parseTokens(it) }?.takeIf { it > 0 },
        )
    } else {
        null
    }
}

private fun parseTokens(text: String): Int? = text.trim().toIntOrNull()?.takeIf { it in 0..MAX_TOKENS }

/** Sums the tokens of the parts `id:tokens` except the last one, which is the request's own. */
private fun sharedTokens(text: String): Int =
    text.split(',').dropLast(1).sumOf { (parseTokens(it.substringAfter(':', "")) ?: 0).toLong() }
        .coerceAtMost(MAX_TOKENS.toLong()).toInt()
