package figdeck.daemon.query.serving

import figdeck.control.Control
import figdeck.control.serving.initialServingState
import figdeck.log.DecisionLog
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.serving.FleetMember
import figdeck.model.systemClock
import figdeck.platform.decodeUpstream
import figdeck.store.query.RowChange
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

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
