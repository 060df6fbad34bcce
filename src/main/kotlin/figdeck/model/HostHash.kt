package figdeck.model

import com.dynatrace.hash4j.hashing.Hashing

private const val HASH_BITS_DROPPED = 11
private const val HASH_UNIT = 1.0 / (1L shl 53)

/** A number from 0 to below 1 for [key] that differs between hosts, which then don't all act at the same time. */
internal fun hashToUnit(host: HostId, key: String): Double {
    val hash = Hashing.komihash5_0().hashStream().putString(host.value).putString(key).asLong
    return (hash ushr HASH_BITS_DROPPED) * HASH_UNIT
}
