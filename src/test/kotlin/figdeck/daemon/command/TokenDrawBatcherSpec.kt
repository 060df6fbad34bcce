package figdeck.daemon.command

import figdeck.command.limit.TokenDraw
import figdeck.command.limit.TokenGrant
import figdeck.command.ownership.HostLease
import figdeck.control.Control
import figdeck.control.stateOf
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val team = TeamId("stado")
private val tokenLife = 100.milliseconds
private val owner =
    HostLease(HostId("host-2"), Address("127.0.0.1", 2), DataCentre("centre-a"), 7, 1, emptyList(), false)

/** A host that draws tokens from an owner that replies after [replyTimes] in turn; null stands for no reply. */
private class DrawingHost(replyTimes: List<Duration?>) : AutoCloseable {
    private var now = Moment(0, 0)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val control = Control(stateOf("host-1"), { now })
    private val times = ArrayDeque(replyTimes)
    val sentDraws = mutableListOf<TokenDraw>()
    private val draws = TokenDrawBatcher(scope, control, { now }) { _, draws ->
        sentDraws += draws
        val time = times.removeFirst()
        now += time ?: tokenLife
        draws.map { TokenGrant(it.waiting, Duration.ZERO, tokenLife) }.takeIf { time != null }
    }

    suspend fun draw() = draws.draw(owner, team)

    override fun close() {
        scope.cancel()
        control.close()
    }
}

class TokenDrawBatcherSpec : DescribeSpec({
    describe("tokens that expire 100 ms after the call was sent") {
        it("are granted if the reply takes 99 ms") {
            DrawingHost(listOf(99.milliseconds)).use { host ->
                host.draw() shouldBe DrawResult.Granted(Moment(0, 0) + tokenLife)
            }
        }
        it("are returned with the next call, once, if the reply takes 100 ms") {
            DrawingHost(listOf(100.milliseconds, 1.milliseconds, 1.milliseconds)).use { host ->
                host.draw() shouldBe DrawResult.NoOwner
                repeat(2) { host.draw() }
                host.sentDraws.map { it.unspent } shouldContainExactly listOf(0, 1, 0)
            }
        }
        it("are not returned a second time if the call that returned them got no reply") {
            DrawingHost(listOf(150.milliseconds, null, 1.milliseconds)).use { host ->
                repeat(3) { host.draw() }
                host.sentDraws.map { it.unspent } shouldContainExactly listOf(0, 1, 0)
            }
        }
    }
})
