package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.PlacementChange
import figdeck.command.dispatch.PlacementContext
import figdeck.command.dispatch.expectedSlotTime
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateSlotsWithChanges
import figdeck.daemon.command.LocalSlots
import figdeck.daemon.command.Permit
import figdeck.model.Clock
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.PlacementView
import figdeck.query.serving.UpstreamStarts
import figdeck.query.serving.placementContextOf
import figdeck.query.serving.slotKey
import figdeck.query.serving.upstreamStarts
import figdeck.telemetry.Meters
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * What the owner of slots contributes to placement by expected completion.
 *
 * @property contextOf what the placement of a request depends on; null if requests are placed by free slots.
 * @property expectedTime how long a request is expected to hold its slot; null if that is unknown.
 * @property recordTime records how long a request was expected to hold its slot, and how long it held it.
 */
internal data class SlotPlacement(
    val contextOf: (SlotRequest) -> PlacementContext? = { null },
    val expectedTime: (Permit) -> Duration? = { null },
    val recordTime: (expected: Duration, seen: Duration) -> Unit = { _, _ -> },
)

/** Places requests by expected completion with what [control] knows of the pools and the fleet. */
internal fun completionPlacement(
    control: Control<ServingState>,
    clock: Clock,
    policy: DispatchPolicy,
    meters: Meters,
): SlotPlacement {
    val starts = SharedStarts()
    return SlotPlacement(
        contextOf = { request ->
            val state = control.snapshot
            val view = PlacementView(starts.of(state.pools.members), state.fleet, state.index?.plan)
            placementContextOf(request, slotKey(request.pool), view, clock())
        },
        expectedTime = { permit -> control.snapshot.slots.expectedSlotTime(permit.id, policy, clock()) },
        recordTime = meters.observePlacement { control.snapshot.slots },
    )
}

/** The upstreams of all pools, computed once for each list of members. */
private class SharedStarts {
    private val latest = AtomicReference<Pair<Map<UpstreamId, PoolMember>, Map<PoolName, UpstreamStarts>>>()

    fun of(members: Map<UpstreamId, PoolMember>): Map<PoolName, UpstreamStarts> {
        val known = latest.get()
        return if (known != null && known.first === members) {
            known.second
        } else {
            upstreamStarts(members).also { latest.set(members to it) }
        }
    }
}

/**
 * The slots that this host grants, as part of the state of [control].
 *
 * @param onRefused receives the refusals of slots.
 * @param onChange receives changes of placement.
 */
internal fun ownSlots(
    control: Control<ServingState>,
    onRefused: (DispatchEffect.Refused) -> Unit = {},
    onChange: (PlacementChange) -> Unit,
) = LocalSlots(
    now = { control.snapshot.slots },
    decide = { decision ->
        val changes = control.run { state: ServingState, now ->
            updateSlotsWithChanges(state, now) { decision(it, now) }
        }
        changes.placementChanges.forEach(onChange)
        changes.effects.filterIsInstance<DispatchEffect.Refused>().forEach(onRefused)
        changes.effects
    },
)
