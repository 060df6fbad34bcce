package figdeck.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.ints.shouldBeLessThan
import java.io.File

private const val PORTS = 250
private val EPHEMERAL_RANGE = File("/proc/sys/net/ipv4/ip_local_port_range")

class FreePortsSpec : DescribeSpec({
    // Guards against "Address already in use": a port that was free when it was chosen, and not when its daemon began.
    describe("the ports of two processes that run tests at once") {
        it("are all different before anything listens on them") {
            FreePorts().use { one ->
                FreePorts().use { other -> List(PORTS) { listOf(one.next(), other.next()) }.flatten().shouldBeUnique() }
            }
        }
    }

    describe("the address of a daemon under test") {
        it("is none that the kernel gives to a connection meanwhile") {
            val first = EPHEMERAL_RANGE.readText().trim().split(Regex("\\s+")).first().toInt()
            List(PORTS) { freeAddress().port }.filter { it >= first }.shouldBeEmpty()
            LAST_PORT shouldBeLessThan first + 1
        }
    }
})
