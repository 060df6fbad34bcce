package figdeck.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.DataCentre

/** The prefix of the keys of the plan table under which operators list the data centres that they evacuate. */
private const val EVACUATION_PREFIX = "evacuate/"

/**
 * Decodes the [key] of a row of the plan table: returns the data centre that the row evacuates, or why the key is
 * invalid, or null if the row is of another kind.
 */
internal fun decodeEvacuationKey(key: String): Either<String, DataCentre>? =
    if (key.startsWith(EVACUATION_PREFIX)) dataCentreOf(key.removePrefix(EVACUATION_PREFIX)) else null

private fun dataCentreOf(name: String): Either<String, DataCentre> = try {
    DataCentre(name).right()
} catch (e: IllegalArgumentException) {
    e.message.orEmpty().left()
}
