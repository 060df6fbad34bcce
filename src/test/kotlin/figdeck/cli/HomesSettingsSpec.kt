package figdeck.cli

import figdeck.model.DataCentre
import figdeck.model.Region
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.File

private val raw = RawEdgeSettings(
    host = "host-1",
    dataCentre = "centre-a",
    callerAddress = "127.0.0.1:1",
    readinessAddress = "127.0.0.1:2",
    peerAddress = "127.0.0.1:3",
    storeAddress = "127.0.0.1:4",
    metricsPort = "9464",
    graceSeconds = "8",
    fleetName = "figdeck",
    seeds = "",
    cores = "1",
)

private fun regionsOf(region: String, table: String): Map<DataCentre, Region>? =
    raw.copy(region = region, dataCentreRegions = table).validate().getOrNull()?.knownRegions()

class HomesSettingsSpec : DescribeSpec({
    describe("the settings of regions") {
        it("name the region of each data centre") {
            regionsOf("north", """{"centre-a":"north","centre-b":"south"}""") shouldBe
                mapOf(DataCentre("centre-a") to Region("north"), DataCentre("centre-b") to Region("south"))
        }

        it("name at least that of this host's data centre") {
            regionsOf("north", "") shouldBe mapOf(DataCentre("centre-a") to Region("north"))
        }

        // Guards against a daemon that doesn't start on a platform without regions.
        it("may be missing, or placeholders that the platform did not replace") {
            regionsOf("", "") shouldBe emptyMap()
            regionsOf("{{Region}}", "{{Zones}}") shouldBe emptyMap()
        }

        it("are refused if they are faulty") {
            regionsOf("no region", "") shouldBe null
            regionsOf("north", "centre-a=north") shouldBe null
        }

        // Guards against a deployment that never passes them on.
        it("are passed on by the deployment") {
            val run = File("deploy/system.toml").readLines().single { it.startsWith("run = ") }.split(' ')
            run.filter { "region" in it } shouldBe listOf("--region={{Region}}", "--data-centre-regions={{Zones}}")
        }
    }
})
