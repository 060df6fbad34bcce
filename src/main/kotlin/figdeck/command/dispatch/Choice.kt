package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Lane
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ONLINE_LOAD_BOUND = 1.25
private const val PREFERRED_UPSTREAMS = 2
private const val BATCH_LOAD_PER_SLOT_BOUND = 4

/** How much longer a request may wait for an upstream that has probably cached its prefix, which saves prefill time. */
private val MAX_AFFINITY_DELAY = 10.milliseconds

/**
 * Picks the less loaded of two views drawn at random among those with the shortest delay. If the request would wait at
 * the picked one, picks the least loaded of them all.
 */
public val powerOfTwoChoices: ChoicePolicy = { views, _, seed -> lessLoadedOfTwo(views, seed) }

/**
 * Picks the first upstream whose load is within a bound, in the order of rendezvous hashing for the prompt's prefix.
 * The bound spreads a hot prefix over several upstreams. Online requests consider only the first
 * [PREFERRED_UPSTREAMS]. Falls back to [powerOfTwoChoices].
 */
public val prefixAffinityChoice: ChoicePolicy = { views, request, seed ->
    request.affinity?.let { findAffine(views, request.lane, it) } ?: lessLoadedOfTwo(views, seed)
}

/**
 * Picks an upstream with the most free slots, so that no batch work is revoked while another upstream has a free slot.
 * Falls back to [powerOfTwoChoices] when no slot is free.
 */
public val mostFreeSlotsChoice: ChoicePolicy = { views, _, seed ->
    val maxFree = views.maxOf { it.free }
    if (maxFree > 0) views.filter { it.free == maxFree }.random(Random(seed)) else lessLoadedOfTwo(views, seed)
}

/** Picks a view uniformly at random. */
public val randomChoice: ChoicePolicy = { views, _, seed -> views[Random(seed).nextInt(views.size)] }

/**
 * Orders requests by these criteria: requests that can still meet their deadline go first, then requests that have
 * held a slot before, so that started work is finished instead of leaving everything half done, then the team with the
 * smallest start tag, then the earliest deadline. Ties go to the oldest request.
 */
public fun fairShareOrder(queue: LaneQueue): QueuedRequest = queue.waiting.minWith(
    compareBy(
        { it.request.willMissDeadline },
        { it.request.slotTimeUsed == Duration.ZERO },
        { queue.shares.startTag(it.request.team) },
        { it.request.deadline.monotonicNanos },
    ),
)

/** Serves the oldest request first, regardless of its team. */
public fun fifoOrder(queue: LaneQueue): QueuedRequest = queue.waiting.first()

private val UpstreamView.relativeLoad: Double get() = load / upstream.slots

private fun rendezvousScore(prefix: Long, view: UpstreamView): Long =
    Hashing.komihash5_0(prefix).hashCharsToLong(view.upstream.id.value)

private fun lessLoadedOfTwo(views: List<UpstreamView>, seed: Long): UpstreamView {
    val shortestDelay = views.minOf { it.delay }
    val nearest = views.filter { it.delay <= shortestDelay }
    val random = Random(seed)
    val drawn = listOf(nearest[random.nextInt(nearest.size)], nearest[random.nextInt(nearest.size)])
    val best = drawn.minBy { it.relativeLoad }
    return if (best.delay > Duration.ZERO) nearest.minBy { it.relativeLoad } else best
}

private fun findAffine(views: List<UpstreamView>, lane: Lane, prefix: Long): UpstreamView? {
    val ranked = views.sortedByDescending { rendezvousScore(prefix, it) }
    return when (lane) {
        Lane.ONLINE -> findAffineOnline(ranked)
        // Batch work can wait. Concentrating it on few upstreams evicts fewer online prefixes from their caches.
        Lane.BATCH -> ranked.find { it.load < BATCH_LOAD_PER_SLOT_BOUND * it.upstream.slots }
    }
}

private fun findAffineOnline(ranked: List<UpstreamView>): UpstreamView? {
    val bound = ONLINE_LOAD_BOUND * ranked.map { it.relativeLoad }.average()
    val maxDelay = ranked.minOf { it.delay } + MAX_AFFINITY_DELAY
    return ranked
        .take(PREFERRED_UPSTREAMS)
        .find { it.delay <= maxDelay && it.load <= bound * it.upstream.slots + 1 }
}
