package figdeck.wire.command

import arrow.core.left
import figdeck.model.Fault
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val FAULTY_TEMPLATE = """{
  "name": "evening", "owner": "jana", "retentionHours": "long",
  "upstreams": [{"id": "e1", "address": "10.0.0.1:8000", "datacentre": "brno"}],
  "models": [{"name": "walks", "upstreams": ["e1", 7]}],
  "routes": [{"name": "slots", "upstreams": []}],
  "teams": [{"team": "stado", "ratePerSecond": -2, "burst": 0, "models": ["night"]}, 3]
}"""

class TemplateCodecSpec : DescribeSpec({
    describe("decoding a template from an operator") {
        it("reports every fault with its path, both of structure and of values") {
            decodeTemplate(FAULTY_TEMPLATE).mapLeft { faults -> faults.map { it.path } } shouldBe listOf(
                "owner",
                "upstreams[0].datacentre",
                "upstreams[0].dataCentre",
                "models[0].upstreams[1]",
                "teams[1]",
                "retentionHours",
                "routes[0].upstreams",
                "teams[0].ratePerSecond",
                "teams[0].burst",
                "teams[0].models",
            ).left()
        }

        it("reports an unknown field with the list of valid fields") {
            decodeTemplate("""{"name":"x","teamz":[]}""") shouldBe listOf(
                Fault("teamz", "is not a field here: use name, upstreams, models, routes, teams, retentionHours"),
            ).left()
        }

        it("reports JSON that is not an object") {
            decodeTemplate("[]") shouldBe listOf(
                Fault("", "the template is no JSON object: see the example in docs/OPERATIONS.md"),
            ).left()
        }
    }
})
