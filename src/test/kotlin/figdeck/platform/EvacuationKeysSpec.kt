package figdeck.platform

import arrow.core.right
import figdeck.model.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class EvacuationKeysSpec : DescribeSpec({
    describe("the key of a row of the plan table") {
        // Guards against an evacuation that is not seen because its key is read differently from how it is written.
        it("names the data centre that the row evacuates") {
            decodeEvacuationKey("evacuate/centre-b") shouldBe DataCentre("centre-b").right()
        }

        it("is of another kind without the prefix") {
            listOf("config", "", "evacuate", "evacuated/centre-b", "x/evacuate/centre-b").forEach {
                decodeEvacuationKey(it) shouldBe null
            }
        }

        // Guards against a daemon that stops following the table at a row that it can't read.
        it("is invalid if no data centre can have the name") {
            listOf("evacuate/", "evacuate/a b", "evacuate/a/b", "evacuate/é", "evacuate/" + "z".repeat(200)).forEach {
                decodeEvacuationKey(it).shouldNotBeNull().isLeft() shouldBe true
            }
        }
    }
})
