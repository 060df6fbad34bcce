package figdeck.daemon.command.jobs

import figdeck.control.serving.refusalByWeights
import figdeck.control.serving.routeOf
import figdeck.model.Known
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.WeightsVersion
import kotlin.time.Duration

/** What is kept of an item without result while its body is not in memory. */
internal class ItemState(
    val position: Int,
    val id: String,
    val tokens: Long,
    newOutput: () -> ItemOutput,
) {
    val output by lazy(newOutput)
    var failures = 0
    var losses = 0
    var spent = Duration.ZERO
}

/** Why an item is not run now. */
internal sealed interface ItemHold {
    /** No plan that may decide about its job is in force here. */
    data object RouteNotRead : ItemHold

    /** It can't be sent, or its result can't be stored. */
    data object NotProcessable : ItemHold

    /** Evacuations or the homes of its route and team leave no upstream of [pool] for it. */
    data class NoUpstream(val pool: PoolName) : ItemHold

    /** All upstreams of [pool] where it may run have other [weights] than it asks for. */
    data class OtherWeights(val pool: PoolName, val weights: WeightsVersion) : ItemHold

    /** @property suspects those of its suspects for which it is quarantined. */
    data class Quarantined(val suspects: Set<CrashSuspect>) : ItemHold
}

/** An item that is not run now. */
internal data class HeldItem(
    val state: ItemState,
    val hold: ItemHold,
)

/** What is done with an item now. */
internal sealed interface ItemDecision {
    data class Run(val route: ServingRoute) : ItemDecision

    data class Hold(val hold: ItemHold) : ItemDecision

    data class GiveUp(val reason: String) : ItemDecision
}

/** How an attempt to run an item ended. */
internal sealed interface ItemRun {
    /** The item is not to be run again now. */
    sealed interface End : ItemRun

    data class Finished(val result: JobResult) : End

    data class Held(val hold: ItemHold) : End

    /** It has no output yet, and no upstream has a slot for it now. */
    data object NoSlot : ItemRun
}

/** Decides about an item of [record] that [holdOf] may hold back. An item that is held back may be given up. */
internal fun JobServices.decideItem(record: JobRecord, holdOf: (ServingRoute) -> ItemHold?): ItemDecision =
    when (val route = control.snapshot.routeOf(record)) {
        Known.NotRead -> ItemDecision.Hold(ItemHold.RouteNotRead)
        is Known.Absent -> ItemDecision.GiveUp("route removed, plan ${route.version}")
        is Known.Present -> {
            val hold = holdOf(route.value)
            when {
                route.value.isExpired(record.age(clock())) -> ItemDecision.GiveUp("expired")
                hold != null -> ItemDecision.Hold(hold)
                else -> ItemDecision.Run(route.value)
            }
        }
    }

/** The part of [known] that still holds an item of [record] back, as far as it can be told without the item. */
internal fun JobServices.currentHold(
    known: ItemHold,
    record: JobRecord,
    route: ServingRoute
): ItemHold? = when (known) {
    ItemHold.RouteNotRead -> null
    ItemHold.NotProcessable -> known
    is ItemHold.NoUpstream -> control.snapshot.holdByLimits(record, route, known.pool)
    is ItemHold.OtherWeights -> holdByWeights(record, route, known.pool, known.weights)
    is ItemHold.Quarantined -> {
        val hold = crashGuard.holdOf(known.suspects.toList())
        known.takeIf { hold != null && !crashGuard.trials.isDue(hold, clock()) }
    }
}

/** What holds an item of [record] back that asks for [weights], if all upstreams of [pool] have others. */
internal fun JobServices.holdByWeights(
    record: JobRecord,
    route: ServingRoute,
    pool: PoolName,
    weights: WeightsVersion,
): ItemHold? {
    val state = control.snapshot
    return state.refusalByWeights(pool, weights, state.homesOf(record, route), clock())
        ?.let { ItemHold.OtherWeights(pool, weights) }
}

/** The result of the item with [state], which is given up. */
internal fun JobServices.giveUp(record: JobRecord, state: ItemState, reason: String): JobResult {
    log.note("item_given_up", state.id) {
        put("job", record.id.value)
        put("failures", state.failures.toLong())
        put("reason", reason)
    }
    return JobResult(state.id, isComplete = false, output = "")
}

/** Whether items of a job submitted [age] ago may be given up. */
internal fun ServingRoute.isExpired(age: Duration): Boolean {
    val limit = batch?.abandonAfter ?: return true
    return limit > Duration.ZERO && age > limit
}
