package figdeck.daemon.query.serving

import figdeck.control.Control
import figdeck.control.serving.initialServingState
import figdeck.log.DecisionLog
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.UpstreamId
import figdeck.model.serving.FleetMember
import figdeck.model.systemClock
import figdeck.platform.decodeUpstream
import figdeck.store.query.RowChange
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private val self = FleetMember(HostId("host-1"), Address("127.0.0.1", 1), DataCentre("centre-a"), "1", 0, 0)

/** Keys that name no upstream and no job. Other writers may use the tables too. */
private val foreignKeys = listOf("", "a key with spaces", "/", "é", "k".repeat(200))

class FollowersSpec : DescribeSpec({
    val control = Control(initialServingState(self), systemClock)

    afterSpec { control.close() }

    describe("a follower of upstreams that gets an entry of another writer") {
        val deep = "[".repeat(20_000)
        val odd = """{"Service":"p","Address":"10.0.0.1:80","Zone":"z","Slots":8,"State":"ready","Models":$deep}"""
        val sound = """{"Service":"p","Address":"10.0.0.2:80","Zone":"z","Slots":8,"State":"ready"}"""
        val follower = poolFollower(control, upstreamReader(::decodeUpstream), DecisionLog("test"))

        it("uses the others, and follows the changes after it") {
            follower.replace(listOf(Row("odd", odd, 1), Row("sound", sound, 1)))
            control.snapshot.pools.members.keys.map { it.value } shouldBe listOf("sound")
            follower.change(listOf(RowChange("odd", Row("odd", odd, 2)), RowChange("sound", null)))
            control.snapshot.pools.members.size shouldBe 0
        }
    }

    // Guards against an upstream that stays cold as long as its row is read again, or that starts again unseen.
    describe("a follower that gets an entry with a remaining time") {
        val text = """{"Service":"p","Address":"10.0.0.2:80","Zone":"z","Slots":8,"State":"ready",""" +
            """"Seq":%d,"ColdRemainingMs":3000}"""
        val follower = poolFollower(control, upstreamReader(::decodeUpstream), DecisionLog("test"))
        fun learnedAt() = control.snapshot.pools.cold.getValue(UpstreamId("cold")).learnedAt

        it("starts a period only if the text of the entry has changed") {
            follower.replace(listOf(Row("cold", text.format(1), 1)))
            val first = learnedAt()
            follower.change(listOf(RowChange("cold", Row("cold", text.format(1), 2))))
            learnedAt() shouldBe first
            follower.change(listOf(RowChange("cold", Row("cold", text.format(2), 3))))
            learnedAt() shouldNotBe first
        }
    }

    // Guards against a host that holds the rows of all jobs of some days at its start.
    describe("a follower of jobs") {
        val text = """{"team":"t","route":"r","submittedAt":1,"total":2,"tokens":3,"results":%d,"ended":%b,""" +
            """"owner":"h","incarnation":"1","chunks":1,"writeId":"w"}"""

        it("keeps the rows of open jobs alone when it reads the whole table") {
            val follower = jobFollower(control)
            val rows = listOf(
                Row("open", text.format(1, false), 1),
                Row("done", text.format(2, false), 1),
                Row("ended", text.format(0, true), 1),
                Row("odd", "no JSON", 1),
            )
            rows.filter(follower.keep).map { it.key } shouldBe listOf("open")
        }

        it("learns of jobs that are closed later") {
            val follower = jobFollower(control)
            follower.replace(listOf(Row("job", text.format(1, false), 1)))
            follower.change(listOf(RowChange("job", Row("job", text.format(2, false), 2))))
            control.snapshot.jobs.closed.map { it.value } shouldBe listOf("job")
            follower.change(listOf(RowChange("job", null)))
            control.snapshot.jobs.jobs.size shouldBe 0
        }
    }

    describe("a follower that gets rows with foreign keys") {
        val changes = foreignKeys.flatMap { listOf(RowChange(it, null), RowChange(it, Row(it, "no JSON", 1))) }

        it("skips them among the upstreams") {
            val follower = poolFollower(control, upstreamReader(::decodeUpstream), DecisionLog("test"))
            follower.replace(foreignKeys.map { Row(it, "no JSON", 1) })
            follower.change(changes)
            control.snapshot.pools.members.size shouldBe 0
            control.snapshot.pools.lastResponseAt.shouldNotBeNull()
        }

        it("skips them among the jobs") {
            val follower = jobFollower(control)
            follower.replace(foreignKeys.map { Row(it, "no JSON", 1) })
            follower.change(changes)
            control.snapshot.jobs.jobs.size shouldBe 0
            control.snapshot.jobs.lastUpdateAt.shouldNotBeNull()
        }
    }
})
