package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.Lane
import kotlin.random.Random
import kotlin.time.Duration

/** Expected times up to this factor of the best count as equal. Estimates are not more exact than that. */
private const val EQUAL_FACTOR = 1.1

/** An upstream has clearly fewer free slots than another if the difference exceeds its slots divided by this. */
private const val SPREAD_DIVISOR = 4

/** The data centre of the host is left if its upstreams have fewer than 1 / this of the free slots of others. */
private const val NEAR_FREE_DIVISOR = 2

/**
 * Places a request by the [CompletionView]s of its candidates.
 *
 * Online work goes to the upstream with a free slot that is expected to complete it first. Batch work goes to the
 * slowest one with a free slot that completes it in time, so that the fast ones stay free for online work. Without a
 * free slot the upstream with the shortest wait for one is picked.
 */
public val expectedCompletionChoice: ChoicePolicy = { views, request, seed ->
    val free = views.filter { it.free > 0 }
    when {
        free.isEmpty() -> views.shortestWait()
        request.lane == Lane.BATCH -> free.slowestInTime(seed)
        else -> free.earliest(request.placement, seed)
    }
}

private val UpstreamView.expectedTime: Duration get() = completion?.expectedTime ?: delay
private val UpstreamView.slotWait: Duration get() = completion?.slotWait ?: delay
private val UpstreamView.remainingWork: Duration get() = completion?.remainingWork ?: Duration.ZERO

private fun List<UpstreamView>.shortestWait(): UpstreamView =
    minWith(compareBy({ it.slotWait }, { it.remainingWork }, { it.expectedTime }))

private fun List<UpstreamView>.earliest(context: PlacementContext?, seed: Long): UpstreamView {
    val equal = equalToBest()
    return when {
        context == null -> equal.leastCrowded().random(Random(seed))
        context.isOnlyGranter -> equal.nearUnlessCrowded(context).leastCrowded().preferredBy(context.host)
        else -> equal.nearUnlessCrowded(context).leastCrowded().leastWorkOfTwo(seed)
    }
}

private fun List<UpstreamView>.equalToBest(): List<UpstreamView> {
    val bound = minOf { it.expectedTime } * EQUAL_FACTOR
    return filter { it.expectedTime <= bound }
}

/**
 * The views in the data centre of the requesting host, or all of them if those elsewhere have far more free slots. A
 * full engine is slower for each of its requests, which outweighs the network delay at some point.
 */
private fun List<UpstreamView>.nearUnlessCrowded(context: PlacementContext): List<UpstreamView> {
    val near = filter { it.upstream.dataCentre == context.dataCentre }
    val hasRoom = near.isNotEmpty() && near.maxOf { it.free } * NEAR_FREE_DIVISOR >= maxOf { it.free }
    return if (hasRoom) near else this
}

/**
 * The views without those that have clearly fewer free slots than the emptiest one. Hosts with the same preferred
 * upstream would otherwise fill it while others are idle.
 */
private fun List<UpstreamView>.leastCrowded(): List<UpstreamView> {
    val maxFree = maxOf { it.free }
    return filter { maxFree - it.free <= it.upstream.slots / SPREAD_DIVISOR }
}

/** The first view in the order of rendezvous hashing for [host], whose connections there are likely to be open. */
private fun List<UpstreamView>.preferredBy(host: HostId): UpstreamView {
    val hashing = Hashing.komihash5_0(Hashing.komihash5_0().hashCharsToLong(host.value))
    return maxBy { hashing.hashCharsToLong(it.upstream.id.value) }
}

/** Several hosts that grant at the same time would all pick the one best view, so each draws two of the best. */
private fun List<UpstreamView>.leastWorkOfTwo(seed: Long): UpstreamView {
    val source = Random(seed)
    return listOf(random(source), random(source)).minBy { it.remainingWork }
}

private fun List<UpstreamView>.slowestInTime(seed: Long): UpstreamView {
    val inTime = filter { it.completion?.isInTime ?: true }
    return if (inTime.isEmpty()) {
        minBy { it.expectedTime }
    } else {
        val bound = inTime.maxOf { it.expectedTime } / EQUAL_FACTOR
        val slowest = inTime.filter { it.expectedTime >= bound }
        val maxFree = slowest.maxOf { it.free }
        slowest.filter { it.free == maxFree }.random(Random(seed))
    }
}
