/**
 * Communication between processes: authenticated frames and datagrams with MessagePack bodies,
 * bounded queues between threads, and the HTTP client. Depends on the model and on the messages of
 * the decision module.
 */
package org.parsleycart.link;
