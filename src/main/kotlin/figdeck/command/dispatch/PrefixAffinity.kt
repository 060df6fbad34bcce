package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Work

/** A hash that is equal for chats of one model that start with the same message and so share cached state. */
public fun prefixAffinity(chat: Work.Chat): Long? = chat.messages.firstOrNull()?.let { first ->
    Hashing.komihash5_0().hashStream()
        .putString(chat.model.value)
        .putString(first.role)
        .putString(first.content)
        .asLong
}
