package figdeck.command.journal

import arrow.core.left
import figdeck.command.Step
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val host = HostId("host-1")
private val claimedJournal = claimed(initialJournal(20.milliseconds), host, 7)

private fun entry(number: Long, key: String = "request/$number", checks: List<RowCheck> = emptyList()) =
    JournalEntry(number, Epoch(7), checks, listOf(RowWrite(key, "v$number")))

private fun JournalState.with(vararg entries: JournalEntry) =
    entries.fold(this) { state, entry -> submitAcceptance(state, entry).state }

/** The journal with [entries] queued and their first group in flight. */
private fun sent(vararg entries: JournalEntry): Step<JournalState, JournalAction> =
    nextAction(claimedJournal.with(*entries), start)

private fun conflict(vararg keys: String) = CallResult.Done(CommitReply.Conflict(keys.toList()))

private fun committed(version: Long) = CallResult.Done(CommitReply.Committed(version))

class JournalSpec : DescribeSpec({
    describe("a group") {
        it("is one transaction that checks the fence and the marker") {
            sent(entry(1), entry(2)).result shouldBe JournalAction.Commit(
                TableTransaction(
                    listOf(RowCheck("journal/host-1", 7), RowCheck("group/host-1", 7)),
                    listOf(
                        RowWrite("group/host-1", "7.1"),
                        RowWrite("request/1", "v1"),
                        RowWrite("request/2", "v2"),
                    ),
                ),
            )
        }

        it("has at most 96 rows of entries, and the rest follows after the interval at the new marker version") {
            val first = sent(*Array(100) { entry(it + 1L) })
            first.state.inFlight?.entries?.size shouldBe 96
            val kept = settleCommit(first.state, committed(8), Moment(5_000_000, 5))
            kept.result.size shouldBe 96
            nextAction(kept.state, Moment(5_000_000, 5)).result shouldBe JournalAction.Pause(15.milliseconds)
            val second = nextAction(kept.state, Moment(20_000_000, 20))
            second.state.inFlight?.entries?.map { it.number } shouldBe listOf(97L, 98L, 99L, 100L)
            second.state.inFlight?.transaction?.checks?.last() shouldBe RowCheck("group/host-1", 8)
        }

        it("never writes a row twice: the later entry for the same row waits") {
            val step = sent(entry(1, "open/x"), entry(2, "open/x"), entry(3))
            step.state.inFlight?.entries?.map { it.number } shouldBe listOf(1L, 3L)
            step.state.pending.map { it.number } shouldBe listOf(2L)
        }
    }

    describe("the reply to a commit") {
        val resent = listOf(RowCheck("idempotency/a", ABSENT))
        val inFlightState = sent(entry(1, checks = resent), entry(2)).state

        it("fails only the entries whose checks failed") {
            val step = settleCommit(inFlightState, conflict("idempotency/a"), start)
            step.result shouldBe listOf(SettledEntry(1, EntryResult.Conflicted(listOf("idempotency/a"))))
            step.state.pending.map { it.number } shouldBe listOf(2L)
        }

        it("returns the entries to the queue when nothing was written, and backs off for up to a second") {
            val step = settleCommit(inFlightState, CallResult.NotDone("503"), start)
            step.result shouldBe emptyList()
            step.state.pending.map { it.number } shouldBe listOf(1L, 2L)
            nextAction(step.state, start).result shouldBe JournalAction.Pause(40.milliseconds)
            val late = (1..9).fold(inFlightState) { state, _ -> state.backedOff(start) }
            nextAction(late, start).result shouldBe JournalAction.Pause(1.seconds)
        }

        it("fences all entries when the journal has another owner, and claims it again") {
            val step = settleCommit(inFlightState.with(entry(3)), conflict("journal/host-1", "group/host-1"), start)
            step.result shouldBe listOf(1L, 2L, 3L).map { SettledEntry(it, EntryResult.Fenced) }
            nextAction(step.state, start).result shouldBe JournalAction.Claim
            submitAcceptance(step.state, entry(4)).result shouldBe Refusal.StoreUnavailable(1.seconds).left()
            submitProgress(claimed(step.state, host, 9), entry(4)).result shouldBe false
        }
    }

    describe("a group whose reply was lost") {
        val inFlightState = sent(entry(1), entry(2)).state
        val transaction = inFlightState.inFlight!!.transaction
        val doubtful = settleCommit(inFlightState, CallResult.Unknown("lost"), start).state
        val superseded = settleCommit(doubtful, conflict("group/host-1"), start).state

        it("is sent again unchanged, and its entries can't be withdrawn") {
            nextAction(doubtful, start + 40.milliseconds).result shouldBe JournalAction.Commit(transaction)
            withdraw(doubtful, 1).result shouldBe false
        }

        it("stays in doubt when the table executes nothing") {
            val still = settleCommit(doubtful, CallResult.NotDone("503"), start).state
            still.pending shouldBe emptyList()
            still.inFlight?.inDoubt shouldBe true
        }

        it("is settled by reading the marker when the marker has changed") {
            nextAction(superseded, start + 1.seconds).result shouldBe JournalAction.ReadMarker("group/host-1")
            val read = settleMarker(superseded, CallResult.Done(Row("group/host-1", "7.1", 8)), start)
            read.result shouldBe listOf(1L, 2L).map { SettledEntry(it, EntryResult.Durable) }
            read.state.writer?.marker shouldBe RowCheck("group/host-1", 8)
        }

        it("is settled as in doubt when another owner has claimed the journal, as it may have been written") {
            val step = settleCommit(doubtful.with(entry(3)), conflict("journal/host-1"), start)
            step.result shouldBe listOf(
                SettledEntry(1, EntryResult.FencedInDoubt),
                SettledEntry(2, EntryResult.FencedInDoubt),
                SettledEntry(3, EntryResult.Fenced),
            )
        }
    }

    describe("the queue") {
        it("refuses acceptances when it is full, and still takes the ends of accepted requests") {
            val full = (1..4096L).fold(claimedJournal) { state, number -> submitAcceptance(state, entry(number)).state }
            submitAcceptance(full, entry(5000)).result shouldBe Refusal.StoreUnavailable(1.seconds).left()
            submitProgress(full, entry(5000)).result shouldBe true
        }

        it("allows withdrawing an entry that was not sent") {
            val step = withdraw(claimedJournal.with(entry(1), entry(2)), 1)
            step.result shouldBe true
            step.state.pending.map { it.number } shouldBe listOf(2L)
            step.state.pendingSize shouldBe 11
        }
    }

    describe("the interval") {
        it("grows with the number of hosts, within bounds") {
            listOf(1, 12, 60, 420).map { groupInterval(it) } shouldBe
                listOf(20.milliseconds, 40.milliseconds, 200.milliseconds, 500.milliseconds)
        }
    }

    describe("the journal of a lost host") {
        val self = HostId("host-2")
        val other = HostId("host-3")

        it("is taken over from that host, another lost host or an unfinished recovery, but not from a live host") {
            fun isTakenFrom(owner: HostId) = mayTakeOver(self, host, JournalOwner(owner, "x"), setOf(host, other))
            listOf(host, other, self, HostId("host-4")).map(::isTakenFrom) shouldBe listOf(true, true, true, false)
            mayTakeOver(self, self, JournalOwner(self, "x"), setOf(self)) shouldBe false
        }
    }
})
