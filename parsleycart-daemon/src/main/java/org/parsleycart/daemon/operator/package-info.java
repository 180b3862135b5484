/** The HTTP interface of a daemon for operators, and for the upstreams that announce themselves. */
package org.parsleycart.daemon.operator;
