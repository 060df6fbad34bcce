package figdeck.daemon.command.serving

import figdeck.command.serving.putCrash
import figdeck.control.Control
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updateCrashRisks
import figdeck.daemon.command.jobs.LimitedStore
import figdeck.model.Moment
import figdeck.model.TableTransaction
import figdeck.model.UpstreamId
import figdeck.model.serving.CrashReport
import figdeck.model.serving.CrashRiskRow
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import figdeck.model.serving.UpstreamStart
import figdeck.model.valueOrNull
import figdeck.process.eventually
import figdeck.wire.serving.CRASH_RISK_TABLE
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private const val ROWS = 60
private val start = Moment(0, 0)

private fun report(number: Int, idLength: Int = 10) = CrashReport(
    request = "request-$number",
    start = UpstreamStart(UpstreamId("engine-$number"), number.toLong()),
    suspects = setOf(PromptPart("p".repeat(idLength))),
)

private fun row(number: Int, idLength: Int = 10) = CrashRiskRow.Crash(report(number, idLength), 0)

private fun key(number: Int) = "crash-%02d".format(number)

private suspend fun LimitedStore.storedKeys(): Set<String> =
    store.queries.scanRows("$CRASH_RISK_TABLE/", "$CRASH_RISK_TABLE/", 100).valueOrNull().orEmpty()
        .map { it.key.substringAfter('/') }.toSet()

/** Writes [rows], by their keys, to [limited] until it has those of [expected]; fails if it never does. */
private suspend fun write(
    limited: LimitedStore,
    rows: Map<String, CrashRiskRow>,
    expected: Set<String> = rows.keys,
    hasExpired: Boolean = false,
) {
    Control(initialServingState(fleetMember("host-1")), { start }).use { control ->
        control.run { state, now ->
            updateCrashRisks(state) { putCrash(it, "crash-old", KnownCrash(report(0), now, version = 1), now) }
        }
        val writer = CrashRiskWriter(control, { if (hasExpired) start + 24.hours else start }, limited.store)
        rows.forEach { (key, row) -> writer.submit(key, row) }
        val writing = CoroutineScope(Dispatchers.Default).launch { writer.writeRows() }
        eventually(5.seconds) { limited.storedKeys() == expected }
        writing.cancelAndJoin()
    }
}

// Guards against a report that the store refuses, is repeated without end, and keeps all later ones from other hosts.
class CrashRiskWriterSpec : DescribeSpec({
    describe("reports about prompts at a store that takes rows of 64 KB, and 100 rows and 1 MB in one call") {
        it("are all written, though together they are larger than a call may be") {
            val limited = LimitedStore()
            write(limited, (1..ROWS).associate { key(it) to row(it, idLength = 30_000) })
            limited.refused.shouldBeEmpty()
        }

        it("are all written but the one that is larger than a row may be") {
            val rows = (1..ROWS).associate { key(it) to row(it, idLength = if (it == 7) 70_000 else 10) }
            write(LimitedStore(), rows, expected = rows.keys - key(7))
        }

        it("are all written, though the store takes less than it says") {
            val limited = LimitedStore { transaction: TableTransaction -> transaction.writes.size > 3 }
            write(limited, (1..ROWS).associate { key(it) to row(it) })
            limited.refused.isEmpty() shouldBe false
        }

        it("are all written, though the store refuses to remove one that no longer counts") {
            val limited = LimitedStore { transaction -> transaction.writes.any { it.value == null } }
            write(limited, (1..ROWS).associate { key(it) to row(it) }, hasExpired = true)
            limited.refused.isEmpty() shouldBe false
        }
    }
})
