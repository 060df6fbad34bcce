package figdeck.telemetry

import figdeck.command.serving.putMember
import figdeck.command.serving.replaceEvacuations
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updateEvacuations
import figdeck.control.serving.updatePools
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.model.DataCentre
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain

private val evacuated = DataCentre("centre-b")

class EvacuationMetersSpec : DescribeSpec({
    val members = listOf(
        poolMember(PoolName("checks"), "here-1"),
        poolMember(PoolName("checks"), "there-1", dataCentre = evacuated),
        poolMember(PoolName("checks"), "there-2", dataCentre = evacuated),
        poolMember(PoolName("chats"), "here-2"),
    )
    val idle = members.fold(initialServingState(fleetMember("host-1"))) { state, member ->
        updatePools(state) { putMember(it, member) }.state
    }
    val during = updateEvacuations(idle) { replaceEvacuations(mapOf(evacuated to 7L)) }.state

    // Guards against an evacuation that operators can't see, and against one that is still shown after its end.
    describe("the metrics of a host") {
        val meters = Meters()

        it("name the evacuated data centres, and count what they take out of each pool") {
            meters.updateEvacuations(during)
            val text = meters.scrape()
            text shouldContain "figdeck_evacuated{data_centre=\"centre-b\"} 1"
            text shouldContain "figdeck_evacuated_upstreams{pool=\"checks\"} 2"
            text shouldContain "figdeck_evacuated_upstreams{pool=\"chats\"} 0"
        }

        it("name none after the end") {
            meters.updateEvacuations(idle)
            val text = meters.scrape()
            text shouldNotContain "data_centre=\"centre-b\""
            text shouldContain "figdeck_evacuated_upstreams{pool=\"checks\"} 0"
        }
    }
})
