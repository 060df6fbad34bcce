package figdeck.daemon.command.serving

import arrow.core.getOrElse
import figdeck.command.serving.TakeRequest
import figdeck.command.serving.TakeResponse
import figdeck.command.serving.applyScan
import figdeck.command.serving.confirmRenewal
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateFleet
import figdeck.log.DecisionLog
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.FleetScan
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val HOSTS = 10
private const val BURST = 20
private val team = TeamId("walkers")

/** Longer than a lease, and shorter than the time for which a host may still serve without the store. */
private const val LAPSED_MILLIS = 5_000L

/** So slow that no token returns during a case. */
private const val RATE_PER_SECOND = 0.5

/** A new owner assumes that 35 % of the burst were spent before. */
private const val INITIAL_TOKENS = 13

private val plan = servingPlan {
    version = 1
    team(team.value) {
        ratePerSecond = RATE_PER_SECOND
        burst = BURST
    }
}.getOrElse { error(it) }

/** A host that owns the bucket of [team] among [HOSTS] hosts and last reached the store at [reachedStoreAt]. */
private suspend fun bucketOwner(reachedStoreAt: Moment, lapsed: Set<Int> = emptySet()): TestHost {
    // Only a host with far more cores than the others owns buckets.
    val self = fleetMember("host-0", cores = 8.0)
    val host = TestHost(self)
    val members = List(HOSTS) { i ->
        val member = if (i == 0) self else fleetMember("host-$i")
        if (i in lapsed) member.copy(renewedAtMillis = self.renewedAtMillis - LAPSED_MILLIS) else member
    }
    val scan = FleetScan(members, self.renewedAtMillis, reachedStoreAt)
    host.control.run { state, _ -> updateFleet(state) { applyScan(it, scan) } }
    host.control.run { state, _ -> adoptPlan(state, plan) }
    host.control.run { state, _ -> updateFleet(state) { confirmRenewal(it, self, reachedStoreAt) } }
    return host
}

/** How many of [BURST] + 5 requests of one host that is cut off from the store get a token. */
private suspend fun TestHost.tokensForCutOffHost(): Int {
    val limits = TeamLimits(control, systemClock, unresponsivePeers, DecisionLog("limits"))
    val request = TakeRequest(HostId("host-1"), team, isCutOff = true)
    return (1..BURST + 5).count {
        (limits.takeTokenForPeer(request) as? TakeResponse.Decided)?.result?.taken == true
    }
}

class TeamLimitsSpec : DescribeSpec({
    // Guards against callers that are refused within their limit, because the host that they reach lost the store: the
    // part of the limit that the owner granted was that of the few hosts that had asked it.
    describe("a host that is cut off from the store and asks the owner of a bucket") {
        it("gets tokens of the whole limit if the owner reaches the store") {
            bucketOwner(systemClock()).use { it.tokensForCutOffHost() } shouldBe
                INITIAL_TOKENS
        }

        it("counts among the hosts that rely on the owner, although its own lease has lapsed") {
            // Of ten hosts, five are live and one without the store asks: 6 tenths of the burst are granted to it.
            bucketOwner(systemClock(), lapsed = setOf(1, 2, 3, 4, 5)).use { it.tokensForCutOffHost() } shouldBe
                INITIAL_TOKENS * 6 / HOSTS
        }

        it("gets the part of the hosts that rely on the owner if that one is cut off as well") {
            bucketOwner(systemClock() + (-60).seconds).use { it.tokensForCutOffHost() } shouldBe
                INITIAL_TOKENS * 2 / HOSTS
        }
    }
})
