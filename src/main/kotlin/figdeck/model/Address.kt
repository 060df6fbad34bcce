package figdeck.model

private const val HIGHEST_PORT = 65_535

/** The IP address and TCP port on which a process listens. */
public data class Address(
    public val ip: String,
    public val port: Int,
) {
    init {
        require(ip.isNotBlank()) { "the address has no IP number: write it as 10.0.0.1:8080" }
        require(port in 1..HIGHEST_PORT) { "port $port is out of range: use 1 to $HIGHEST_PORT" }
    }

    override fun toString(): String = "$ip:$port"
}

/** Parses `ip:port`. Throws [IllegalArgumentException] with the expected format if [text] has another form. */
public fun parseAddress(text: String): Address {
    val port = text.substringAfterLast(':', "").toIntOrNull()
    requireNotNull(port) { "'$text' is not an address: write it as 10.0.0.1:8080" }
    return Address(text.substringBeforeLast(':'), port)
}
