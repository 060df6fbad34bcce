package figdeck.platform

import figdeck.http.client.HttpClient
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.systemClock
import figdeck.model.valueOrNull
import figdeck.process.eventually
import figdeck.standin.PlatformStandIn
import figdeck.store.query.FeedReply
import figdeck.store.query.allRows
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ROW_COUNT = 1_200
private const val SNAPSHOTS = 100
private const val FOLLOWED_WRITES = 1_000
private val WRITE_RETRY_DELAY = 10.milliseconds

class StoreClientSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val client = HttpClient(group)
    val address = HttpServer(group, HttpServerLimits(), PlatformStandIn(systemClock).handler).listen("127.0.0.1", 0)
    val platform = StoreClient(client, address)

    afterSpec {
        client.close()
        group.shutdownGracefully()
    }

    suspend fun commit(checks: List<RowCheck>, vararg writes: RowWrite) =
        platform.store.commands.commit(TableTransaction(checks, writes.toList()))

    beforeSpec {
        // On a busy machine, loading the classes of the first call takes longer than a call may take.
        eventually(20.seconds) { commit(emptyList(), RowWrite("warm-up/a", "1")) is CallResult.Done }
        eventually(20.seconds) { platform.store.queries.readRow("warm-up/a") is CallResult.Done }
    }

    describe("a transaction") {
        it("writes rows and returns their version") {
            val checks = listOf(RowCheck("t/a", ABSENT))
            val reply = commit(checks, RowWrite("t/a", "é1"), RowWrite("t/b", "2")).valueOrNull()
            val version = (reply as CommitReply.Committed).version
            val row = platform.store.queries.readRow("t/a").valueOrNull()?.value
            row?.value shouldBe "é1"
            row?.version shouldBe version
        }

        it("returns only the failed checks, and writes nothing") {
            commit(emptyList(), RowWrite("u/a", "1"))
            val version = platform.store.queries.readRow("u/a").valueOrNull()?.value?.version ?: 0
            val holding = listOf(RowCheck("u/a", version), RowCheck("u/b", ABSENT))
            val checks = holding + RowCheck("u/a", ABSENT) + RowCheck("u/c", 7)
            commit(checks, RowWrite("u/b", "2")) shouldBe
                CallResult.Done(CommitReply.Conflict(listOf("u/a", "u/c")))
            platform.store.queries.readRow("u/b").valueOrNull()?.value shouldBe null
        }
    }

    describe("a scan") {
        it("reads as many pages as needed, within its prefix") {
            val writes = (1..ROW_COUNT).map { RowWrite("v/p/${it.toString().padStart(5, '0')}", "$it") }
            writes.chunked(100).forEach { commit(emptyList(), *it.toTypedArray()) }
            commit(emptyList(), RowWrite("v/q/1", "other"))
            val rows = platform.store.queries.scanRows("v/p/", "", ROW_COUNT * 2).valueOrNull().orEmpty()
            rows.map { it.value } shouldBe (1..ROW_COUNT).map { "$it" }
            platform.store.queries.scanRows("v/p/", "v/p/01199", 10).valueOrNull()?.map { it.value } shouldBe
                listOf("$ROW_COUNT")
            platform.feed.snapshot("v", allRows).valueOrNull()?.rows?.size shouldBe ROW_COUNT + 1
        }
    }

    describe("a snapshot of several pages whose first row changes meanwhile") {
        it("has the new row, or the changes after its version have it") {
            val writes = (1..ROW_COUNT).map { RowWrite("y/${it.toString().padStart(5, '0')}", "0") }
            writes.chunked(100).forEach { commit(emptyList(), *it.toTypedArray()) }
            val stale = (1..SNAPSHOTS).filter { number ->
                val snapshot = async(Dispatchers.Default) { platform.feed.snapshot("y", allRows).valueOrNull()!! }
                // Varied, so that the write meets each page.
                delay((number % 10).milliseconds)
                commit(emptyList(), RowWrite("y/00001", "$number")).shouldBeInstanceOf<CallResult.Done<CommitReply>>()
                val listed = snapshot.await()
                val later = platform.feed.changes("y", listed.version, 20.milliseconds).valueOrNull()
                val isListed = listed.rows.first().value == "$number"
                !isListed && (later as FeedReply.Changes).changes.isEmpty()
            }
            stale.shouldBeEmpty()
        }
    }

    describe("the changes of a table") {
        it("include all writes and removals after a version") {
            val before = platform.feed.snapshot("w", allRows).valueOrNull()?.version ?: 0
            commit(emptyList(), RowWrite("w/a", "1"), RowWrite("w/b", "2"))
            commit(emptyList(), RowWrite("w/a", null))
            val reply = platform.feed.changes("w", before, 100.milliseconds).valueOrNull()
            val changes = (reply as FeedReply.Changes).changes.associate { it.key to it.row?.value }
            changes shouldBe mapOf("a" to null, "b" to "2")
        }

        it("are empty if nothing changes during the wait") {
            val version = platform.feed.snapshot("w", allRows).valueOrNull()?.version ?: 0
            val reply = platform.feed.changes("w", version, 50.milliseconds).valueOrNull()
            (reply as FeedReply.Changes).changes shouldBe emptyList()
        }
    }

    describe("a follower of a table that is written all the time") {
        it("misses no write") {
            val writes = launch(Dispatchers.Default) {
                repeat(FOLLOWED_WRITES) {
                    while (commit(emptyList(), RowWrite("x/$it", "$it")) !is CallResult.Done) {
                        delay(WRITE_RETRY_DELAY)
                    }
                }
            }
            val followed = mutableSetOf<String>()
            var version = 0L
            var isQuiet = false
            while (writes.isActive || !isQuiet) {
                val reply = platform.feed.changes("x", version, 20.milliseconds)
                reply.shouldBeInstanceOf<CallResult.Done<FeedReply.Changes>>()
                followed += reply.value.changes.map { it.key }
                isQuiet = reply.value.changes.isEmpty()
                version = reply.value.version
            }
            followed.size shouldBe FOLLOWED_WRITES
        }
    }

    describe("an object") {
        it("can be read after it is put, until it is deleted") {
            platform.store.commands.putObject("a/b c", byteArrayOf(1, 2))
            platform.store.queries.readObject("a/b c").valueOrNull()?.value?.toList() shouldBe listOf<Byte>(1, 2)
            platform.store.commands.deleteObject("a/b c")
            platform.store.queries.readObject("a/b c").valueOrNull()?.value shouldBe null
        }
    }
})
