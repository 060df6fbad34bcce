package figdeck.daemon.command

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.control.Control
import figdeck.control.stateOf
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.systemClock
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class SlotDispatcherSpec : DescribeSpec({
    val engine = Upstream(
        UpstreamId("engine-1"),
        Address("127.0.0.1", 1),
        DataCentre("centre-a"),
        UpstreamKind.ENGINE,
        1,
        honoursFencing = false,
    )

    fun request(lane: Lane) = DispatchRequest(
        listOf(engine),
        TeamId("stado"),
        1,
        lane,
        10,
        null,
        systemClock() + 60.seconds,
    )

    describe("a permit") {
        val control = Control(stateOf("host-1"), systemClock)
        val dispatcher = SlotDispatcher(control, DispatchPolicy(), Random(5)).dispatcher
        afterSpec { control.close() }

        suspend fun acquire(lane: Lane) = dispatcher.acquire(request(lane)).getOrNull()!!

        it("goes to the next waiting request when its holder releases it") {
            coroutineScope {
                val first = acquire(Lane.ONLINE)
                val second = async { acquire(Lane.ONLINE) }
                dispatcher.release(first, SlotOutcome.ANSWERED, 10)
                dispatcher.release(second.await(), SlotOutcome.ANSWERED, 10)
            }
        }

        it("is revoked when online work arrives, which does not wait for the release") {
            val batch = acquire(Lane.BATCH)
            val online = acquire(Lane.ONLINE)
            batch.revoked.isCompleted shouldBe true
            listOf(batch, online).forEach { dispatcher.release(it, SlotOutcome.ANSWERED, 10) }
        }

        it("leaks no slot when the requests that wait for it are cancelled") {
            coroutineScope {
                val held = acquire(Lane.ONLINE)
                val waiting = List(8) { async { acquire(Lane.ONLINE) } }
                eventually(5.seconds) { control.snapshot.dispatch.tickets.size == 9 }
                waiting.forEach { it.cancelAndJoin() }
                dispatcher.release(held, SlotOutcome.ANSWERED, 10)
                control.snapshot.dispatch.tickets.size shouldBe 0
            }
        }
    }
})
