package figdeck.control.serving

import figdeck.command.dispatch.Arrival
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep
import figdeck.command.dispatch.Release
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.admit
import figdeck.command.dispatch.mostFreeSlotsChoice
import figdeck.command.dispatch.release
import figdeck.command.dispatch.tick
import figdeck.command.serving.ColdSource
import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.markSuspect
import figdeck.command.serving.ownColdTimeLeft
import figdeck.command.serving.recordCold
import figdeck.command.serving.recordLimit
import figdeck.command.serving.replaceMembers
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.AdvertisedLimit
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.storeMillisAt
import figdeck.query.serving.joinedAt
import figdeck.query.serving.ranked
import figdeck.query.serving.settledOwner
import figdeck.query.serving.slotKey
import figdeck.query.serving.usableUpstreams
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal const val STEP_MILLIS = 5L
private const val ENTRY_READ_MILLIS = 50L

/** How long after a cold time has begun its entry can be read. */
private const val ENTRY_DELAY_MILLIS = 30L
private const val TICK_MILLIS = 20L
private const val HOLD_MILLIS = 60L
private const val CONFIRMATION_MILLIS = 500L
private const val SLOTS = 8
private const val MAX_OWNERS = 2
private val pool = PoolName("p")
private val policy = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)
private val maxWait = 200.milliseconds

internal fun at(millis: Long) = Moment(millis * 1_000_000, millis)

/**
 * An upstream of the simulation, which answers after [HOLD_MILLIS].
 *
 * @property cold when it is cold.
 * @property answersTell whether its answers say how long it stays cold. Its entry does in any case.
 * @property rate the requests per second that its answers advertise, by their time; null for no limit.
 */
internal data class SimulatedUpstream(
    val name: String,
    val cold: LongRange,
    val answersTell: Boolean,
    val rate: (Long) -> Double? = { null },
) {
    val id = UpstreamId(name)

    /** Its entry in the store. It writes a new one when it becomes cold. */
    fun entry(now: Long) = PoolMember(
        Upstream(
            id,
            Address("127.0.0.1", 1),
            DataCentre("centre-a"),
            UpstreamKind.SERVICE,
            SLOTS,
            false,
            startedAtMillis = 1
        ),
        pool,
        isLeaving = false,
        coldRemaining = (if (now < cold.first + ENTRY_DELAY_MILLIS) 0L else cold.last - cold.first).milliseconds,
    )
}

/** A host with its control state and no others of its parts. */
internal class SimulatedHost(
    private val name: String,
    private val plan: ServingPlan,
) {
    val id = HostId(name)
    var isAlive = true
    var state = newState(0)
    var nextRenewalAt = 0L
    private var starts = 0

    /** Starts again without any memory. */
    fun restart(now: Long) {
        state = newState(++starts)
        nextRenewalAt = now
        isAlive = true
    }

    fun decide(now: Moment, decision: (DispatchState) -> DispatchStep): List<DispatchEffect> {
        val step = updateSlots(state, now, decision)
        state = step.state
        return step.result
    }

    /** The start of [upstream] by its entry; null if this host knows none. */
    fun startOf(upstream: UpstreamId): UpstreamStart? = state.pools.members[upstream]?.start

    private fun newState(incarnation: Int): ServingState {
        val self = FleetMember(id, Address("127.0.0.1", 1), DataCentre("centre-a"), "$name-$incarnation", 0, 0)
        return adoptPlan(initialServingState(self), plan).state
    }
}

/** Which links work; hosts are named by their number. */
internal data class Links(
    val store: (host: Int) -> Boolean = { true },
    val peers: (from: Int, to: Int) -> Boolean = { _, _ -> true },
)

private data class SimulatedTicket(
    val owner: SimulatedHost,
    val holder: SimulatedHost,
)

private data class RunningSend(
    val sentAt: Long,
    val endsAt: Long,
    val ticket: Long,
    val upstream: UpstreamId,
)

/**
 * A fleet of [size] hosts in virtual time, which run the decisions of the product on membership, limited upstreams and
 * slots. Messages take no time; a host that is asked in vain is suspected. [links] and the hosts' lives may change.
 */
internal class ColdFleet(
    size: Int,
    plan: ServingPlan,
    private val upstreams: List<SimulatedUpstream>,
    private val requestsPerSecond: Int,
    private val random: Random,
) {
    val hosts = List(size) { SimulatedHost("host-$it", plan) }
    var links = Links()
    var now = 0L

    /** The times of all sends to each upstream. */
    val sends = upstreams.associate { it.id to mutableListOf<Long>() }
    private val rows = mutableMapOf<HostId, FleetMember>()
    private val tickets = mutableMapOf<Long, SimulatedTicket>()
    private val running = mutableListOf<RunningSend>()
    private var lastTicket = 0L

    init {
        hosts.forEach { it.nextRenewalAt = random.nextLong(300) }
    }

    /** The live host that grants the slots of online work to the hosts that reach all others. */
    fun grantingHost(): SimulatedHost {
        val asked = hosts.first { it.isAlive }
        val first = asked.state.fleet.ranked(slotKey(pool), at(now)).first().host
        return hosts.first { it.id == first }
    }

    fun runUntil(end: Long) {
        while (now < end) {
            now += STEP_MILLIS
            hosts.filter { it.isAlive }.forEach { runHost(it) }
            val ended = running.filter { it.endsAt <= now }
            running -= ended.toSet()
            ended.forEach { finish(it) }
            if (now % CONFIRMATION_MILLIS == 0L) confirmSlots()
            submitRequests()
        }
    }

    private fun runHost(host: SimulatedHost) {
        val reachesStore = links.store(hosts.indexOf(host))
        if (reachesStore && now >= host.nextRenewalAt) renew(host)
        if (reachesStore && (now + hosts.indexOf(host) * STEP_MILLIS) % ENTRY_READ_MILLIS == 0L) readEntries(host)
        if (now % TICK_MILLIS == 0L) apply(host, host.decide(at(now)) { tick(it, policy, at(now)) })
    }

    private fun renew(host: SimulatedHost) {
        val scan = FleetScan(rows.values.toList(), now, at(now))
        host.state = applyMembers(host.state, scan).state
        val fleet = host.state.fleet
        val storeMillis = scan.storeMillisAt(at(now))
        val row = fleet.self.copy(
            joinedAtMillis = fleet.joinedAt(storeMillis, at(now)),
            renewedAtMillis = storeMillis,
            limits = host.state.announcedLimits(at(now)),
        )
        rows[host.id] = row
        host.state = host.state.copy(fleet = confirmRenewal(fleet, row, at(now)))
        host.nextRenewalAt = now + fleet.times.renewal.inWholeMilliseconds + random.nextLong(-100, 100)
    }

    private fun readEntries(host: SimulatedHost) {
        val entries = upstreams.map { it.entry(now) }
        host.state = updateColdPools(host.state, at(now)) { replaceMembers(it, entries, at(now)) }.state
    }

    private fun submitRequests() {
        val ready = hosts.filter { it.isAlive && it.state.hasRequiredData }
        val expected = requestsPerSecond * STEP_MILLIS / 1_000.0
        val count = expected.toInt() + if (random.nextDouble() < expected % 1) 1 else 0
        if (ready.isNotEmpty()) repeat(count) { requestSlot(ready.random(random)) }
    }

    private fun requestSlot(holder: SimulatedHost) {
        val ticket = ++lastTicket
        val owner = holder.state.onlineOwners(pool, at(now)).take(MAX_OWNERS).takeWhile { it.host != holder.id }
            .firstNotNullOfOrNull { member -> hosts.first { it.id == member.host }.takeIf { reaches(holder, it) } }
            ?: holder
        tickets[ticket] = SimulatedTicket(owner, holder)
        val request = DispatchRequest(
            candidates = owner.state.pools.members.usableUpstreams(pool, emptySet()),
            team = null,
            weight = 1,
            lane = Lane.ONLINE,
            cost = 1,
            affinity = null,
            deadline = at(now) + maxWait,
            coldLimits = coldLimits(owner.state, pool, at(now)),
        )
        apply(owner, owner.decide(at(now)) { admit(it, Arrival(ticket, request, random.nextLong()), policy, at(now)) })
    }

    private fun reaches(from: SimulatedHost, to: SimulatedHost): Boolean {
        val isUp = to.isAlive && to.state.hasRequiredData && links.peers(hosts.indexOf(from), hosts.indexOf(to))
        if (!isUp) from.state = updateFleet(from.state) { markSuspect(it, to.id, at(now)) }.state
        return isUp
    }

    private fun apply(owner: SimulatedHost, effects: List<DispatchEffect>) {
        effects.filterIsInstance<DispatchEffect.Granted>().forEach { granted ->
            val ticket = tickets.getValue(granted.ticket)
            if (ticket.owner === owner && ticket.holder.isAlive) {
                sends.getValue(granted.upstream.id) += now
                running += RunningSend(now, now + HOLD_MILLIS, granted.ticket, granted.upstream.id)
            }
        }
    }

    private fun finish(send: RunningSend) {
        val (owner, holder) = tickets.getValue(send.ticket)
        val upstream = upstreams.first { it.id == send.upstream }
        if (upstream.answersTell && now in upstream.cold) {
            val left = (upstream.cold.last - now).milliseconds
            learn(holder, send.upstream, left, ColdSource.REPLY)
        }
        val rate = upstream.rate(now)
        val advertised = if (rate == null) {
            AdvertisedLimit(AdvertisedRate.Unlimited, at(send.sentAt))
        } else {
            AdvertisedLimit(AdvertisedRate.Limited(rate), at(now))
        }
        learnLimit(holder, send.upstream, advertised)
        val isTold = owner === holder || links.peers(hosts.indexOf(holder), hosts.indexOf(owner))
        if (owner.isAlive && isTold) {
            holder.startOf(send.upstream)?.let { holder.state.pools.ownColdTimeLeft(it, at(now)) }
                ?.let { learn(owner, send.upstream, it, ColdSource.RELEASE) }
            reportLimit(holder, owner, send.upstream)
            val freed = Release(send.ticket, SlotOutcome.ANSWERED, 1, random.nextLong())
            apply(owner, owner.decide(at(now)) { release(it, freed, policy, at(now)) })
        }
    }

    /** Each holder confirms its slots to the hosts that grant them, with the limits of their upstreams. */
    private fun confirmSlots() {
        running.map { tickets.getValue(it.ticket).holder to it.upstream }.distinct()
            .filter { (holder, _) -> holder.isAlive }
            .forEach { (holder, upstream) ->
                val fleet = holder.state.fleet
                val key = slotKey(pool)
                setOfNotNull(fleet.ranked(key, at(now)).firstOrNull(), fleet.settledOwner(key, at(now)))
                    .map { owner -> hosts.first { it.id == owner.host } }
                    .filter { it.isAlive && links.peers(hosts.indexOf(holder), hosts.indexOf(it)) }
                    .forEach { reportLimit(holder, it, upstream) }
            }
    }

    private fun reportLimit(holder: SimulatedHost, owner: SimulatedHost, upstream: UpstreamId) {
        val known = holder.startOf(upstream)?.let { holder.state.pools.limits[it] }
        if (known != null && owner !== holder) learnLimit(owner, upstream, known)
    }

    private fun learnLimit(host: SimulatedHost, upstream: UpstreamId, limit: AdvertisedLimit) {
        val start = host.startOf(upstream) ?: return
        host.state = updatePools(host.state) { recordLimit(it, start, limit) }.state
    }

    private fun learn(host: SimulatedHost, upstream: UpstreamId, left: Duration, source: ColdSource) {
        val start = host.startOf(upstream) ?: return
        host.state = updateColdPools(host.state, at(now)) { recordCold(it, start, left, source, at(now)) }.state
    }
}

/** The most of [times] in any span of one second. */
internal fun mostInOneSecond(times: List<Long>): Int = mostIn(1_000, times)

/** The most of [times] in any span of [spanMillis]. */
internal fun mostIn(spanMillis: Long, times: List<Long>): Int {
    var first = 0
    return times.indices.maxOfOrNull { last ->
        while (times[last] - times[first] > spanMillis) first++
        last - first + 1
    } ?: 0
}
