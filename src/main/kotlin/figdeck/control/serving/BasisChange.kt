package figdeck.control.serving

import figdeck.command.work.WorkHistory

/**
 * The estimates of a route now rest on the basis of [history].
 *
 * @property before the history until now, from whose latest observation on the basis may have been outdated.
 */
internal data class BasisChange(
    val before: WorkHistory,
    val history: WorkHistory,
)
