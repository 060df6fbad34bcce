package figdeck.command.ownership

import figdeck.command.limit.TeamBuckets
import figdeck.command.limit.TokenDraw
import figdeck.command.limit.TokenGrant
import figdeck.command.limit.grant
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.Shard
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.platform.RowsReply
import figdeck.platform.encodeRowsReply
import figdeck.platform.encodeTransaction
import figdeck.platform.toMessage
import figdeck.wire.command.encodeDraws
import figdeck.wire.command.encodeGrants
import figdeck.wire.command.encodeHostLease
import figdeck.wire.command.encodeShardRow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

private const val HOSTS = 420

private fun lease(index: Int) = HostLease(
    HostId("entry-host-$index"),
    Address("10.20.30.40", 18_081),
    DataCentre("centre-a"),
    8_000_000_000_000_000_000 + index,
    12_345,
    listOf(HostId("entry-host-17"), HostId("entry-host-18")),
    leaving = false,
)

/** The mean duration of a call of [action], in microseconds, after [count] calls of warm-up. */
private fun meanMicros(count: Int, action: (Int) -> Unit): Double {
    repeat(count, action)
    return measureTime { repeat(count, action) }.inWholeNanoseconds / 1e3 / count
}

private fun rowBytes(row: Row): Int = encodeRowsReply(RowsReply(listOf(row.toMessage()), version = row.version)).length

class FleetCostSpec : DescribeSpec({
    describe("the cost of $HOSTS hosts") {
        val rows = List(HOSTS) { HostRow(lease(it), 1_000_000L + it) }
        val self = rows[0].lease.let { HostIdentity(it.host, it.address, it.dataCentre) }
        val now = Moment(0, 0)
        val state = observeHosts(initialOwnership(self, LeaseTimes()), rows, now).state

        it("takes little time per call") {
            val limit = Limit(1e6, 1_000_000)
            val owned = OwnedShard(Epoch(1), 1, Moment(-2_000_000_000, 0))
            var buckets = TeamBuckets(persistentMapOf())
            val draws = List(22_000) { TokenDraw(TeamId("team-$it"), 1, 0) }
            val micros = mapOf(
                "grant" to meanMicros(50_000) {
                    buckets = grant(buckets, draws[it % draws.size], limit, owned, now).state
                },
                "fenceOf" to meanMicros(100_000) { state.fenceOf(Shard(it % 1_024), now) },
                "observeHosts, unchanged" to meanMicros(200) { observeHosts(state, rows, now) },
                "preferencesOf" to meanMicros(50) { preferencesOf(state.preferences.hosts) },
            )
            println("microseconds per call: $micros")
            micros.getValue("grant").toLong() shouldBeLessThan 100
            micros.getValue("preferencesOf").toLong() shouldBeLessThan 500.milliseconds.inWholeMicroseconds
        }
        it("takes few bytes per message") {
            val key = hostKey(self.host)
            val value = encodeHostLease(rows[0].lease)
            val owner = ShardOwner(self.host, 8_000_000_000_000_000_000)
            val shard = encodeShardRow(ShardRow(Shard(1), owner, Epoch(9), 1))
            val renewal = TableTransaction(listOf(RowCheck(key, 1_000_000)), listOf(RowWrite(key, value)))
            val grants = encodeGrants(listOf(TokenGrant(1, 1.milliseconds, 100.milliseconds)))
            val bytes = mapOf(
                "renewal" to encodeTransaction(renewal).length,
                "renewal's reply" to encodeRowsReply(RowsReply(version = 1_000_000)).length,
                "a host row in a scan" to rowBytes(Row(key, value, 1_000_000)),
                "a shard row in a scan" to rowBytes(Row("shard/1023", shard, 1_000_000)),
                "draw of one team" to encodeDraws(listOf(TokenDraw(TeamId("team-12345"), 1, 0))).length,
                "grant of one team" to grants.length,
            )
            println("bytes per body: $bytes")
            bytes.values.max() shouldBeLessThan 500
        }
    }
})
