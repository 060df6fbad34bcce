package figdeck.model

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class TeamIdSpec : DescribeSpec({
    describe("a team id") {
        it("returns its value as text") {
            TeamId("stado").toString() shouldBe "stado"
        }
        it("rejects a slash with a message that lists the allowed characters") {
            shouldThrow<IllegalArgumentException> { TeamId("a/b") }.message shouldBe
                "team 'a/b' is not an identifier: use up to 128 letters, digits, '.', '_' and '-', " +
                "starting with a letter or digit"
        }
    }
})
