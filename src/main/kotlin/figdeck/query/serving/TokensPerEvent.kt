package figdeck.query.serving

import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan

/** The number of tokens in one event of a stream of [pool]; 1 before a plan is known and for a pool without one. */
internal fun ServingPlan?.tokensPerEvent(pool: PoolName): Int =
    this?.pools?.find { it.name == pool }?.tokensPerEvent ?: 1
