package figdeck.daemon.command

import figdeck.command.limit.Draw
import figdeck.command.limit.Grant
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

/** A host whose questions are answered in the given times, and what it asked. */
private class DrawingHost(answerTimes: List<Duration?>) : AutoCloseable {
    private var now = Moment(0, 0)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val control = Control(stateOf("host-1"), { now })
    private val times = ArrayDeque(answerTimes)
    val sentDraws = mutableListOf<Draw>()
    private val draws = TokenDrawBatcher(scope, control, { now }) { _, draws ->
        sentDraws += draws
        val time = times.removeFirst()
        now += time ?: tokenLife
        draws.map { Grant(it.waiting, Duration.ZERO, tokenLife) }.takeIf { time != null }
    }

    suspend fun draw() = draws.draw(owner, team)

    override fun close() {
        scope.cancel()
        control.close()
    }
}

class TokenDrawBatcherSpec : DescribeSpec({
    describe("tokens that live 100 ms from the question on") {
        it("are handed out when the answer takes 99 ms") {
            DrawingHost(listOf(99.milliseconds)).use { host ->
                host.draw() shouldBe DrawResult.Granted(Moment(0, 0) + tokenLife)
            }
        }
        it("go back with the next question, once, when the answer takes 100 ms") {
            DrawingHost(listOf(100.milliseconds, 1.milliseconds, 1.milliseconds)).use { host ->
                host.draw() shouldBe DrawResult.NoOwner
                repeat(2) { host.draw() }
                host.sentDraws.map { it.unspent } shouldContainExactly listOf(0, 1, 0)
            }
        }
        it("are not given back a second time when the question with them got no answer") {
            DrawingHost(listOf(150.milliseconds, null, 1.milliseconds)).use { host ->
                repeat(3) { host.draw() }
                host.sentDraws.map { it.unspent } shouldContainExactly listOf(0, 1, 0)
            }
        }
    }
})
