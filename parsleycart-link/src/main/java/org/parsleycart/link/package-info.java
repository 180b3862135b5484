/**
 * Links between processes: authenticated frames and datagrams with MessagePack bodies, bounded
 * rings between threads, and the HTTP client. Depends on the model and the decisions' messages.
 */
package org.parsleycart.link;
