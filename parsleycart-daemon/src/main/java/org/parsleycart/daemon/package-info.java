/** The daemon: its start, its parts and their order of stopping. */
package org.parsleycart.daemon;
