package figdeck.daemon.command

import arrow.core.left
import arrow.core.right
import figdeck.command.limit.TokenGrant
import figdeck.command.ownership.HostLease
import figdeck.command.ownership.HostRow
import figdeck.command.ownership.ObservedHost
import figdeck.command.ownership.preferencesOf
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.stateOf
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Team
import figdeck.model.TeamId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val team = Team(TeamId("stado"), emptyList(), Limit(10.0, 10), 1, emptySet(), emptySet())
private val tokenLife = 100.milliseconds
private val nextToken = 44.milliseconds
private val ownerHost = HostId("host-2")

/** An owner's reply after [time]; a null [granted] stands for a host that doesn't own the bucket. */
private data class Reply(val time: Duration, val granted: Int?)

private val noOwner = Reply(160.milliseconds, null)
private val lateGrant = Reply(160.milliseconds, 1)
private val emptyBucket = Reply(90.milliseconds, 0)
private val grant = Reply(1.milliseconds, 1)

private fun stateWithOwner(): ControlState {
    val lease = HostLease(ownerHost, Address("127.0.0.1", 2), DataCentre("centre-a"), 7, 1, emptyList(), false)
    val observed = ObservedHost(HostRow(lease, 1), Moment(0, 0), null, false)
    val state = stateOf("host-1")
    val ownership = state.fleet.ownership.copy(
        hosts = persistentMapOf(ownerHost to observed),
        preferences = preferencesOf(setOf(ownerHost)),
    )
    return state.copy(fleet = state.fleet.copy(ownership = ownership))
}

/** A host whose draws get [replies] in turn, and the last of them from then on. Time passes by replies only. */
private class LimitingHost(private vararg val replies: Reply) : AutoCloseable {
    private var now = Moment(0, 0)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val control = Control(stateWithOwner(), { now })
    var drawCount = 0
        private set
    private val batcher = TokenDrawBatcher(scope, control, { now }) { _, draws ->
        val reply = replies[drawCount.coerceAtMost(replies.lastIndex)]
        drawCount++
        now += reply.time
        draws.map { reply.granted?.let { TokenGrant(it, nextToken, tokenLife) } }
    }
    private val limiter = fleetRateLimiter(control, { now }, batcher)

    suspend fun take() = limiter.take(team)

    override fun close() {
        scope.cancel()
        control.close()
    }
}

class FleetRateLimiterSpec : DescribeSpec({
    // Guards against over_rate for a team's only call, after its bucket had no owner or the owner answered late.
    describe("a call that must wait 44 ms for a token") {
        it("gets it although the bucket had no owner for 480 ms") {
            LimitingHost(noOwner, noOwner, noOwner, emptyBucket, grant).use { it.take() shouldBe Unit.right() }
        }
        it("gets it although three grants came after their lifetime") {
            LimitingHost(lateGrant, lateGrant, lateGrant, emptyBucket, grant).use { it.take() shouldBe Unit.right() }
        }
    }

    describe("a call that gets no token") {
        it("is refused as over its rate after 500 ms") {
            LimitingHost(emptyBucket).use {
                it.take() shouldBe Refusal.RateLimited(team.id, nextToken).left()
                it.drawCount shouldBe 6
            }
        }
        it("is refused after 500 ms of waiting for a token, however long an owner was missing before") {
            LimitingHost(noOwner, noOwner, emptyBucket).use {
                it.take() shouldBe Refusal.RateLimited(team.id, nextToken).left()
                it.drawCount shouldBe 2 + 6
            }
        }
        it("is refused after 1,500 ms without an owner") {
            LimitingHost(noOwner).use {
                it.take() shouldBe Refusal.LimitUnavailable(team.id).left()
                it.drawCount shouldBe 10
            }
        }
    }
})
