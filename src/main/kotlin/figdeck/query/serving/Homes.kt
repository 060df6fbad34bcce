package figdeck.query.serving

import figdeck.model.Region
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.ServingTeam

/**
 * The regions to which requests of [team] to [route] are confined; null if neither confines them. If both do, a region
 * must be a home of both, so the result may be empty: then no upstream may run the requests.
 */
public fun homesOf(route: ServingRoute?, team: ServingTeam?): Set<Region>? =
    listOfNotNull(route?.homes, team?.homes)
        .filter { it.isNotEmpty() }
        .reduceOrNull { all, homes -> all intersect homes }
