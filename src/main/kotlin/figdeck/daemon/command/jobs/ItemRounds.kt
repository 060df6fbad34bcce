package figdeck.daemon.command.jobs

import figdeck.log.PartLog
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val HELD_ITEM_CHECK_INTERVAL = 1.seconds
private val FIRST_READ_DELAY = 250.milliseconds
private val MAX_READ_DELAY = 1.seconds
private val partLog = PartLog("jobs")

/** The result of an item. Its memory is kept until [isSettled] is completed: it is stored, or can't be. */
internal data class FinishedItem(
    val state: ItemState,
    val result: JobResult,
    val isSettled: CompletableDeferred<Unit> = CompletableDeferred(),
)

/** Chooses the items of a round from all items of the job; null if that is not possible now. */
internal typealias ChooseItems = suspend (List<JobItem>) -> List<ItemState>?

/**
 * Runs the items of one job in rounds. A round waits for memory, reads its items, and runs each until it is finished or
 * held back. The body of an item that is held back is not kept; once the item may run, a later round reads it again.
 * A round that has memory waits for no more of it, so that rounds don't block each other.
 */
internal class ItemRounds(
    private val services: JobServices,
    private val record: JobRecord,
    private val itemPermits: Semaphore,
    private val finished: Channel<FinishedItem>,
) {
    private val heldItems = ConcurrentHashMap<Int, HeldItem>()

    /** Whether a round has not begun yet. All items that may run when it begins belong to it. */
    @Volatile
    private var isRoundWaiting = true

    /** Runs the items that [chooseFirst] selects, and again those that were held back, until cancelled. */
    suspend fun runUntilCancelled(chooseFirst: ChooseItems): Unit = coroutineScope {
        launch { runRound(chooseFirst) }
        while (true) {
            delay(HELD_ITEM_CHECK_INTERVAL)
            finishGivenUpItems()
            if (!isRoundWaiting && heldItems.values.any { decide(it) is ItemDecision.Run }) {
                isRoundWaiting = true
                launch { runRound { takeItemsThatMayRun() } }
            }
        }
    }

    /** Holds back the item with [state], which is not run now. */
    fun hold(state: ItemState, hold: ItemHold) {
        heldItems[state.position] = HeldItem(state, hold)
    }

    private fun decide(held: HeldItem): ItemDecision =
        services.decideItem(record) { route -> services.currentHold(held.hold, record, route) }

    /** Finishes the held items that are given up, which takes no memory. */
    private suspend fun finishGivenUpItems() {
        for (held in heldItems.values) {
            val decision = decide(held)
            if (decision is ItemDecision.GiveUp && heldItems.remove(held.state.position, held)) {
                finished.send(FinishedItem(held.state, services.giveUp(record, held.state, decision.reason)))
            }
        }
    }

    private fun takeItemsThatMayRun(): List<ItemState> = heldItems.values
        .filter { decide(it) is ItemDecision.Run && heldItems.remove(it.state.position, it) }
        .map { it.state }

    private suspend fun runRound(choose: ChooseItems) {
        var readDelay = FIRST_READ_DELAY
        while (!tryRound(choose)) {
            delay(readDelay)
            readDelay = (readDelay * 2).coerceAtMost(MAX_READ_DELAY)
        }
    }

    /** Returns false if the items can't be read now. They take no memory until the next attempt. */
    private suspend fun tryRound(choose: ChooseItems): Boolean =
        services.memory.held.withBytes(record.maxItemsBytes) { room ->
            coroutineScope { startItems(room, choose) }
        }

    // No list of all items outlasts this function, so that the body of an item that is held back is freed.
    private suspend fun CoroutineScope.startItems(room: ByteBudget.Reservation, choose: ChooseItems): Boolean {
        val items = services.readItems(record).onLeft { fault -> partLog.warn { fault } }.getOrNull()
        val chosen = items?.let { choose(it) } ?: return false
        room.resize(chosen.sumOf { items[it.position].heapBytes })
        isRoundWaiting = false
        chosen.forEach { state ->
            val item = items[state.position]
            launch { runItem(state, item, room) }
        }
        return true
    }

    private suspend fun runItem(state: ItemState, item: JobItem, room: ByteBudget.Reservation) {
        when (val end = runUntilEnd(ItemRunner(services, record, item, state))) {
            is ItemRun.Held -> hold(state, end.hold)
            is ItemRun.Finished -> {
                val finishedItem = FinishedItem(state, end.result)
                finished.send(finishedItem)
                finishedItem.isSettled.await()
            }
        }
        room.shrink(item.heapBytes)
    }

    /** An item that finds no slot waits without a permit, behind those of all jobs that wait for one. */
    private suspend fun runUntilEnd(runner: ItemRunner): ItemRun.End {
        var run = itemPermits.withPermit { runner.run() }
        while (run !is ItemRun.End) {
            delay(SLOT_RETRY_DELAY)
            run = itemPermits.withPermit { runner.run() }
        }
        return run
    }
}
