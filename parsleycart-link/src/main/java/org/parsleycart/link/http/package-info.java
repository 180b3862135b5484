/** A blocking HTTP client for control traffic, over Undertow's client. */
package org.parsleycart.link.http;
